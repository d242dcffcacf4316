package cli

import (
	"time"

	"github.com/gullhaven/gullhaven/bundle/strict"
	"github.com/gullhaven/gullhaven/operate"
	"github.com/gullhaven/gullhaven/ports/transport"
)

// connection has the options of commands that call instances.
type connection struct {
	To      []string `long:"to" required:"yes" value-name:"IP:PORT" description:"operators' interface of an instance; repeat for more, tried in turn"`
	Timeout float64  `long:"timeout" default:"10" value-name:"SECONDS" description:"time for one attempt at one instance"`
}

// newClient makes a client that tries all addresses in the given number of rounds.
func (c *connection) newClient(env *Env, rounds int) (*operate.Client, error) {
	for _, address := range c.To {
		if err := strict.CheckAddress(address); err != nil {
			return nil, err
		}
	}
	return &operate.Client{
		Addresses: c.To,
		HTTP:      transport.NewHTTPClient(time.Duration(c.Timeout * float64(time.Second))),
		Rounds:    rounds,
		Pause:     roundInterval,
		Sleep:     env.Sleep,
		Report:    func(address string, err error) { env.Progress("%s: %v; trying the next", address, err) },
	}, nil
}

// roundInterval is the time between rounds, in which a new leader can be elected.
const roundInterval = time.Second
