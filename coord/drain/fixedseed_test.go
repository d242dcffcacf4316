package drain_test

import _ "github.com/gullhaven/gullhaven/coord/fixedseed"
