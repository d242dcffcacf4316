package routes

import "github.com/gullhaven/gullhaven/coord/pieces"

// Format reads documents that hold a Table, as a whole or in parts.
type Format interface {
	// Parse reads and checks a whole document, which may have no routes.
	Parse(document []byte) (*Table, error)
	// Layout returns the positions of the routes in a document that Parse has read. It has
	// none if the document can't be split unambiguously.
	Layout(document []byte) pieces.Layout
	// ParseRoutes reads the routes between two positions of a Layout.
	ParseRoutes(part []byte) ([]Route, error)
}
