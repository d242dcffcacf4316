package pipeline

import (
	"crypto/sha256"
	"io"
	"time"

	"github.com/gullhaven/gullhaven/pipeline/openai"
	"github.com/gullhaven/gullhaven/pipeline/prefix"
	"github.com/gullhaven/gullhaven/ports"
)

// noDeadline removes the deadline of a connection.
var noDeadline time.Time

// ParseModel reads a model request and finds its service.
type ParseModel struct{ directory ports.Directory }

// Serve fills x.Request, x.Service and x.Adapter. It refuses malformed requests
// and those that this region may not serve.
func (f *ParseModel) Serve(x *Exchange, next Handler) error {
	form := openai.Chat
	if x.Kind == KindText {
		form = openai.Text
	}
	req, err := openai.Parse(form, x.Body)
	if err != nil {
		return refuse(CodeBodyMalformed, err.Error())
	}
	x.Request = req
	s, adapter := x.View.Model(req.Model)
	if s == nil {
		return refuse(CodeUnknownModel, "no model of this name: "+quoted(req.Model))
	}
	if x.Terms.Service != "" && x.Terms.Service != s.ID {
		return refuse(CodeWrongHeader, HeaderService+" names another service than the body's model")
	}
	x.Adapter = adapter
	if err := x.setService(s); err != nil {
		return err
	}
	if err := restrictRegions(x, f.directory); err != nil {
		return err
	}
	return next(x)
}

// PrefixDigests computes the digests that identify cached prefixes and repeated
// work.
type PrefixDigests struct{}

// Serve fills x.Prefix and x.Digest.
func (*PrefixDigests) Serve(x *Exchange, next Handler) error {
	x.Prefix = prefix.Digests(x.Request.Model, x.Request.Prompt)
	x.Digest = modelDigest(x)
	return next(x)
}

// modelDigest covers the engine's input, and nothing that differs when the same
// work is sent again under another id.
func modelDigest(x *Exchange) (d ports.Digest) {
	h := sha256.New()
	_, _ = io.WriteString(h, x.Request.Model)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(x.Request.Prompt)
	h.Sum(d[:0])
	return d
}

// plainDigest covers method, path and query, and the body if it was read.
func plainDigest(x *Exchange) (d ports.Digest) {
	h := sha256.New()
	_, _ = io.WriteString(h, x.R.Method+" "+x.R.URL.RequestURI()+"\x00")
	_, _ = h.Write(x.Body)
	h.Sum(d[:0])
	return d
}
