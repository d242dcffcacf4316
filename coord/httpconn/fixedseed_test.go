package httpconn

import _ "github.com/gullhaven/gullhaven/coord/fixedseed" // Draws the same cases in every run.
