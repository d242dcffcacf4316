package load

import _ "github.com/gullhaven/gullhaven/coord/fixedseed" // Makes rapid draw the same cases in every run.
