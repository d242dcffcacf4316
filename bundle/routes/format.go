package routes

import "github.com/gullhaven/gullhaven/coord/pieces"

// Format reads documents that hold a table, whole or in parts.
type Format interface {
	// Parse reads and checks a whole document, be it one without routes.
	Parse(document []byte) (*Table, error)
	// Layout says where the routes are in a document that Parse has read. It names none
	// where the document cannot be taken apart without a doubt.
	Layout(document []byte) pieces.Layout
	// ParseRoutes reads the routes that stand between two places of a Layout.
	ParseRoutes(part []byte) ([]Route, error)
}
