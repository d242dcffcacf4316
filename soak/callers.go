package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/node/duty"
	"github.com/gullhaven/gullhaven/platform/platformtest"
)

const (
	// deadline is the deadline of each request, below its route's timeout.
	deadline = 4 * time.Second
	// slack is how much later than its deadline a request may end without a fault at its
	// entry instance, as the machine may be busy with other tests.
	slack = 6 * time.Second
	// dialTimeout bounds the dial of a caller's connection.
	dialTimeout = time.Second
	// callerPause is the mean pause of a caller between two requests.
	callerPause = 40 * time.Millisecond
	// requestsPerConn bounds the requests that a caller sends over a connection.
	requestsPerConn = 25
	// writePause is the time between two configurations.
	writePause = 300 * time.Millisecond
	// Every largeEvery-th version has largeRoutes more routes, so that restarts and cuts
	// happen during its transfer.
	largeEvery  = 4
	largeRoutes = 3000
	// callTimeout bounds a call of an operator and of the directory.
	callTimeout = 2 * time.Second
	// recoveryTimeout bounds how long the site may take to serve after the last fault.
	recoveryTimeout = 40 * time.Second
)

var paths = []string{
	platformtest.PathUnsafe + "x", platformtest.PathSafe + "x",
	platformtest.PathStream + "events", platformtest.PathResumable + "events",
}

// Start starts the callers, operators and readers; stop ends them and waits for the last
// answers.
func (w *World) Start(ctx context.Context, seed uint64) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	for n := range w.o.Callers {
		rng := rand.New(rand.NewPCG(seed, uint64(n)+2))
		w.wg.Go(func() { w.runCaller(ctx, n, rng) })
	}
	for author := range 2 {
		rng := rand.New(rand.NewPCG(seed, uint64(author)+100))
		w.wg.Go(func() { w.runOperator(ctx, author, rng) })
	}
	w.wg.Go(func() { w.runReader(ctx, rand.New(rand.NewPCG(seed, 200))) })
	for n, e := range w.entries {
		for k := range w.o.LateSenders {
			rng := rand.New(rand.NewPCG(seed, uint64(1000+n*w.o.LateSenders+k)))
			w.wg.Go(func() { w.runLateSender(ctx, e, fmt.Sprintf("l%d-%d", n, k), rng) })
		}
	}
	if w.o.Poison {
		w.wg.Go(func() { w.runPoison(ctx, rand.New(rand.NewPCG(seed, 300))) })
		w.wg.Go(func() { w.runPrompts(ctx, deadlyPrefix, poisonPause, rand.New(rand.NewPCG(seed, 301))) })
		w.wg.Go(func() { w.runPrompts(ctx, soundPrefix, soundPause, rand.New(rand.NewPCG(seed, 302))) })
	}
	return func() {
		cancel()
		w.wg.Wait()
	}
}

// runCaller runs a caller, which uses a connection until it ends or has served
// requestsPerConn requests.
func (w *World) runCaller(ctx context.Context, caller int, rng *rand.Rand) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ctx.Err() == nil; {
		conn := w.connect(ctx, client, caller, rng)
		if conn == nil {
			_ = duty.Pause(ctx, callerPause)
			continue
		}
		stays := true
		for sent := 0; stays && sent < requestsPerConn && ctx.Err() == nil; sent++ {
			n++
			r := Request{
				ID: fmt.Sprintf("c%d-%d", caller, n), Path: paths[rng.IntN(len(paths))], Entry: conn.Address, Start: time.Now(),
			}
			r.Outcome, stays = conn.Do(r.ID, r.Path, deadline, r.Start.Add(2*(deadline+slack)))
			r.End = time.Now()
			w.Ledger.AddRequest(r)
			w.takeUp(ctx, client, caller, rng, &r)
			_ = duty.Pause(ctx, time.Duration(rng.Int64N(int64(2*callerPause))))
		}
		conn.Close()
	}
}

// takeUp takes up a stream that broke after an event, once, at any entry instance.
func (w *World) takeUp(ctx context.Context, client *http.Client, caller int, rng *rand.Rand, broken *Request) {
	after := broken.wholeEvents()
	if broken.Err == nil || after == 0 || !strings.HasPrefix(broken.Path, platformtest.PathResumable) {
		return
	}
	conn := w.connect(ctx, client, caller, rng)
	if conn == nil {
		return
	}
	defer conn.Close()
	r := Request{ID: broken.ID + "-again", Path: broken.Path, Entry: conn.Address, Start: time.Now(), Resumes: broken.ID, After: after}
	r.Outcome = conn.TakeUp(r.ID, r.Path, r.Resumes, after, deadline, r.Start.Add(2*(deadline+slack)))
	r.End = time.Now()
	w.Ledger.AddRequest(r)
}

// connect asks the directories in turn, from the caller's own on, and connects to one of the
// addresses that they return. It returns nil if none can be reached.
func (w *World) connect(ctx context.Context, client *http.Client, caller int, rng *rand.Rand) *platformtest.Conn {
	for n := range w.entries {
		e := w.entries[(caller+n)%len(w.entries)]
		addresses, err := platformtest.Resolve(ctx, client, e.directory, region(caller))
		if err != nil || len(addresses) == 0 {
			continue // It is down, or not ready.
		}
		conn, err := platformtest.Dial(addresses[rng.IntN(len(addresses))], dialTimeout)
		if err == nil {
			return conn
		}
	}
	return nil
}

// runOperator runs one of two operators. Both write the same versions, so that they race.
func (w *World) runOperator(ctx context.Context, author int, rng *rand.Rand) {
	client := &http.Client{Timeout: callTimeout}
	for ctx.Err() == nil {
		version := w.Ledger.Newest(time.Now()) + 1
		more := 0
		if version%largeEvery == 0 {
			more = largeRoutes
		}
		sent := platformtest.LargeDocument(version, fmt.Sprint("author ", author), more)
		c := w.cores[rng.IntN(len(w.cores))]
		if err := platformtest.Put(ctx, client, c.operators, sent); err == nil {
			w.Ledger.AddAcknowledged(version, time.Now())
		}
		_ = duty.Pause(ctx, writePause)
	}
}

// runReader reads the configuration at random core instances.
func (w *World) runReader(ctx context.Context, rng *rand.Rand) {
	client := &http.Client{Timeout: callTimeout}
	for ctx.Err() == nil {
		c := w.cores[rng.IntN(len(w.cores))]
		sent := time.Now()
		if _, version, err := platformtest.Get(ctx, client, c.operators); err == nil {
			w.Ledger.CheckRead(version, sent, c.name())
		}
		_ = duty.Pause(ctx, callerPause)
	}
}

// AwaitServing waits until every entry instance serves each kind of request, and returns an
// error if one doesn't within recoveryTimeout. where names the phase, for request IDs and errors.
func (w *World) AwaitServing(ctx context.Context, where string) error {
	var wg sync.WaitGroup
	errs := make([]error, len(w.entries))
	for n, e := range w.entries {
		wg.Go(func() { errs[n] = w.awaitEntry(ctx, e, fmt.Sprint(where, "-", n)) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return fmt.Errorf("%s: %w", where, err)
		}
	}
	return nil
}

func (w *World) awaitEntry(ctx context.Context, e *entry, name string) error {
	end := time.Now().Add(recoveryTimeout)
	for _, path := range paths {
		err := retryUntil(ctx, end, func(n int) error {
			w.Ledger.AddSent(path, time.Now())
			o := sendOnce(e, fmt.Sprint(name, path, n), path)
			if o.Status == http.StatusOK && o.Err == nil {
				return nil
			}
			return fmt.Errorf("%s does not serve %s: status %d, %w", e.name(), path, o.Status, o.Err)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// retryUntil calls try until it succeeds, end has passed or ctx ends, and returns its last
// error. n is the number of the call, from 0.
func retryUntil(ctx context.Context, end time.Time, try func(n int) error) error {
	for n := 0; ; n++ {
		err := try(n)
		if err == nil || time.Now().After(end) || ctx.Err() != nil {
			return err
		}
		_ = duty.Pause(ctx, callerPause)
	}
}

func sendOnce(e *entry, id, path string) platformtest.Outcome {
	conn, err := platformtest.Dial(e.callers, dialTimeout)
	if err != nil {
		return platformtest.Outcome{Err: err}
	}
	defer conn.Close()
	o, _ := conn.Do(id, path, deadline, time.Now().Add(deadline+slack))
	return o
}

// AwaitAgreement waits until all core instances return the same configuration, not older
// than the newest acknowledged one. It returns an error if they don't within recoveryTimeout.
func (w *World) AwaitAgreement(ctx context.Context) error {
	client := &http.Client{Timeout: callTimeout}
	newest := w.Ledger.Newest(time.Now())
	return retryUntil(ctx, time.Now().Add(recoveryTimeout), func(int) error { return w.agreement(ctx, client, newest) })
}

func (w *World) agreement(ctx context.Context, client *http.Client, newest uint64) error {
	var first string
	for n, c := range w.cores {
		document, version, err := platformtest.Get(ctx, client, c.operators)
		if err != nil {
			return fmt.Errorf("%s: %w", c.name(), err)
		}
		if n == 0 {
			first = document
		}
		if document != first || version < newest {
			return fmt.Errorf("%s holds version %d, %s another one; %d was acknowledged", c.name(), version, w.cores[0].name(), newest)
		}
	}
	return nil
}

// Configure writes the first configuration, and returns an error if it is not accepted within
// recoveryTimeout.
func (w *World) Configure(ctx context.Context) error {
	client := &http.Client{Timeout: callTimeout}
	err := retryUntil(ctx, time.Now().Add(recoveryTimeout), func(n int) error {
		return platformtest.Put(ctx, client, w.cores[n%len(w.cores)].operators, platformtest.Document(1, "first"))
	})
	if err != nil {
		return fmt.Errorf("the first configuration is not accepted: %w", err)
	}
	w.Ledger.AddAcknowledged(1, time.Now())
	return nil
}
