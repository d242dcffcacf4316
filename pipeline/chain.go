package pipeline

// Handler processes a request to its end. It returns an error that was not sent
// to the caller yet, as a rule a *verdict.Error.
type Handler func(x *Exchange) error

// Filter is one step on the path of a request. It refuses the request by
// returning an error, or calls next.
type Filter interface {
	Serve(x *Exchange, next Handler) error
}

// chain puts filters, first to last, before a handler.
func chain(end Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], end
		end = func(x *Exchange) error { return f.Serve(x, next) }
	}
	return end
}
