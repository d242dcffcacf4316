package pieces

// Request requests the manifest of a document, or pieces of it.
type Request struct {
	Root Digest `cbor:"1,keyasint"`
	// Pieces are the requested pieces. The response has the first of them, as many as fit
	// MaxBytes and at least one. If empty, the manifest is requested.
	Pieces   []Digest `cbor:"2,keyasint,omitempty"`
	MaxBytes int      `cbor:"3,keyasint,omitempty"`
}

// Response answers a Request.
type Response struct {
	Manifest *Manifest `cbor:"1,keyasint,omitempty"`
	// Packed are the first of the requested pieces.
	Packed [][]byte `cbor:"2,keyasint,omitempty"`
	// Unknown is set if the document, or the first requested piece, is not held, or no longer.
	Unknown bool `cbor:"3,keyasint,omitempty"`
}

// maxDocuments is how many documents a Holder keeps. Transfers of the last few may still be
// in progress if several are published within a second.
const maxDocuments = 4

// Holder answers requests for the newest documents. It is not safe for concurrent use.
type Holder struct {
	// documents are ordered, newest last.
	documents []heldDocument
}

type heldDocument struct {
	root     Digest
	manifest *Manifest
	packed   map[Digest][]byte
}

// Put adds a document as the newest one and drops the oldest beyond maxDocuments.
func (h *Holder) Put(root Digest, d *Document) {
	if n := len(h.documents); n > 0 && h.documents[n-1].root == root {
		return
	}
	h.documents = append(h.documents, heldDocument{root, &d.Manifest, d.ByDigest()})
	h.documents = h.documents[max(0, len(h.documents)-maxDocuments):]
}

// Respond returns the response to a request.
func (h *Holder) Respond(r *Request) *Response {
	for k := len(h.documents) - 1; k >= 0; k-- {
		if h.documents[k].root == r.Root {
			return h.documents[k].respond(r)
		}
	}
	return &Response{Unknown: true}
}

func (h *heldDocument) respond(r *Request) *Response {
	if len(r.Pieces) == 0 {
		return &Response{Manifest: h.manifest}
	}
	out, size := &Response{}, 0
	for _, d := range r.Pieces {
		packed, ok := h.packed[d]
		if !ok {
			return &Response{Unknown: len(out.Packed) == 0, Packed: out.Packed}
		}
		size += len(packed)
		if size > r.MaxBytes && len(out.Packed) > 0 {
			break
		}
		out.Packed = append(out.Packed, packed)
	}
	return out
}
