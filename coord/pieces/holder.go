package pieces

// Ask asks for the manifest of a document, or for pieces of it.
type Request struct {
	Root Digest `cbor:"1,keyasint"`
	// Pieces are asked for in this order, as many as fit MaxBytes and at least one; none
	// asks for the manifest.
	Pieces   []Digest `cbor:"2,keyasint,omitempty"`
	MaxBytes int      `cbor:"3,keyasint,omitempty"`
}

// Answer answers an Ask.
type Response struct {
	Manifest *Manifest `cbor:"1,keyasint,omitempty"`
	// Packed are the first of the pieces asked for.
	Packed [][]byte `cbor:"2,keyasint,omitempty"`
	// Unknown says that the document is not held, or not any more.
	Unknown bool `cbor:"3,keyasint,omitempty"`
}

// keptDocuments is how many documents a Holder gives pieces of: transfers of the last ones
// may still be under way where several come within a second.
const keptDocuments = 4

// Holder answers for the newest documents. It belongs to one goroutine at a time.
type Holder struct {
	// held are the newest last.
	held []held
}

type held struct {
	root     Digest
	manifest *Manifest
	packed   map[Digest][]byte
}

// Put adds a document.
func (h *Holder) Put(root Digest, d *Document) {
	if n := len(h.held); n > 0 && h.held[n-1].root == root {
		return
	}
	h.held = append(h.held, held{root, &d.Manifest, d.ByDigest()})
	h.held = h.held[max(0, len(h.held)-keptDocuments):]
}

// Answer answers an Ask.
func (h *Holder) Respond(a *Request) *Response {
	for k := len(h.held) - 1; k >= 0; k-- {
		if h.held[k].root == a.Root {
			return h.held[k].answer(a)
		}
	}
	return &Response{Unknown: true}
}

func (h *held) answer(a *Request) *Response {
	if len(a.Pieces) == 0 {
		return &Response{Manifest: h.manifest}
	}
	out, size := &Response{}, 0
	for _, d := range a.Pieces {
		packed, ok := h.packed[d]
		if !ok {
			return &Response{Unknown: len(out.Packed) == 0, Packed: out.Packed}
		}
		size += len(packed)
		if size > a.MaxBytes && len(out.Packed) > 0 {
			break
		}
		out.Packed = append(out.Packed, packed)
	}
	return out
}
