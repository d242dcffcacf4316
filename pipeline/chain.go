package pipeline

// Handler takes a request to its end. Its error is a *verdict.Error that was
// not told to the caller yet.
type Handler func(x *Exchange) error

// Filter is one step on the path of a request. It refuses by an error, or calls
// next.
type Filter interface {
	Serve(x *Exchange, next Handler) error
}

// chain joins filters, first to last, before a handler.
func chain(end Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], end
		end = func(x *Exchange) error { return f.Serve(x, next) }
	}
	return end
}
