package serve_test

import _ "github.com/gullhaven/gullhaven/coord/fixedseed" // Draws the same cases in every run.
