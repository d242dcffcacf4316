package operate

import (
	"bytes"
	"context"
	"encoding/json"
	stderrors "errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/bundle"
)

// ErrUnreachable means that no address answered. Whether a bundle was accepted
// is unknown then; sending the same bytes again is safe.
const ErrUnreachable = errors.ConstError("no instance answered")

// maxAnswerBytes bounds the body of an answer.
const maxAnswerBytes = 64 << 20

// Client calls the operators' interface of any of several instances.
type Client struct {
	// Addresses are IP:port, tried in order.
	Addresses []string
	// HTTP sends the requests; its timeout bounds each attempt.
	HTTP *http.Client
	// Rounds is how often all addresses are tried; below 1 counts as 1.
	Rounds int
	// Pause is the time between rounds.
	Pause time.Duration
	// Sleep waits, or returns early with the context's error.
	Sleep func(context.Context, time.Duration) error
	// Report, if not nil, is called after each failed attempt.
	Report func(address string, err error)
}

// Sleep implements Client.Sleep on the wall clock.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// RollAnswer is the answer to a bundle that was accepted, now or earlier.
type RollAnswer struct {
	Version  uint64        `json:"version"`
	Digest   bundle.Digest `json:"digest"`
	Accepted bool          `json:"accepted"`
}

// Refusal is an error that any other instance would return as well.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// Code is stable across releases; Message is for people.
	Code    string
	Message string
}

// Error returns code, status and message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused (%s, status %d): %s", r.Code, r.Status, r.Message)
}

// Roll sends a signed bundle. After a failure it sends the same bytes to the next
// address; an instance answers a repeated bundle as it did the first time, so a
// lost answer does no harm. The error is a *Refusal or wraps ErrUnreachable.
func (c *Client) Roll(ctx context.Context, signed []byte) (RollAnswer, error) {
	var result RollAnswer
	err := c.try(ctx, func(address string) error {
		result = RollAnswer{}
		err := c.call(ctx, http.MethodPost, address, BundlesPath, signed, &result)
		if err == nil && !result.Accepted {
			return errors.Errorf("%s: doesn't say that the bundle is accepted", address)
		}
		return err
	})
	return result, err
}

// Status returns the status of the first instance that answers. The error is a
// *Refusal or wraps ErrUnreachable.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	status := new(Status)
	err := c.try(ctx, func(address string) error {
		*status = Status{}
		return c.call(ctx, http.MethodGet, address, StatusPath, nil, status)
	})
	return status, err
}

// try calls each address in order until one answers or refuses.
func (c *Client) try(ctx context.Context, call func(address string) error) error {
	var failures []error
	for round := range max(c.Rounds, 1) {
		if round > 0 {
			if err := c.Sleep(ctx, c.Pause); err != nil {
				return stderrors.Join(ErrUnreachable, err)
			}
			failures = nil
		}
		for _, address := range c.Addresses {
			err := call(address)
			var refusal *Refusal
			if err == nil || errors.As(err, &refusal) {
				return err
			}
			failures = append(failures, err)
			if c.Report != nil {
				c.Report(address, err)
			}
		}
	}
	return stderrors.Join(append([]error{ErrUnreachable}, failures...)...)
}

// call sends one request and decodes its answer into the given value.
func (c *Client) call(ctx context.Context, method, address, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Annotate(err, address)
	}
	return decodeAnswer(address, response.StatusCode, data, into)
}

// decodeAnswer decodes an answer with status 200 into the given value. Other
// answers are errors: a *Refusal, or a failure that another instance may not have.
func decodeAnswer(address string, status int, data []byte, into any) error {
	switch {
	case status == http.StatusOK:
		if err := json.Unmarshal(data, into); err != nil {
			return errors.Annotatef(err, "%s: answer", address)
		}
		return nil
	case status >= http.StatusInternalServerError || status == http.StatusTooManyRequests:
		return errors.Errorf("%s: status %d: %s", address, status, excerpt(data))
	default:
		return parseRefusal(status, data)
	}
}

// parseRefusal reads the error form of api/design; of another body it takes the
// start as the message.
func parseRefusal(status int, data []byte) *Refusal {
	var form struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal(data, &form); err != nil || form.Error.Code == "" {
		return &Refusal{Status: status, Code: "unknown", Message: excerpt(data)}
	}
	return &Refusal{Status: status, Code: form.Error.Code, Message: form.Error.Message}
}

// excerpt returns the start of an answer, on one line.
func excerpt(data []byte) string {
	const maxBytes = 300
	if len(data) > maxBytes {
		data = data[:maxBytes]
	}
	return strings.Join(strings.Fields(string(data)), " ")
}
