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

// ErrUnreachable marks that no address gave an answer. Whether a bundle was
// accepted is unknown then; sending the same bytes again is safe.
const ErrUnreachable = errors.ConstError("no instance answered")

// maxAnswer bounds an answer, in bytes.
const maxAnswer = 64 << 20

// Client talks to the operators' interface of any of several instances.
type Client struct {
	// Addresses are IP:port, tried in turn.
	Addresses []string
	// HTTP sends the requests; its timeout bounds each attempt.
	HTTP *http.Client
	// Rounds over all addresses before giving up; at least 1.
	Rounds int
	// Pause is the time between rounds.
	Pause time.Duration
	// Sleep waits, or ends early with the context's error.
	Sleep func(context.Context, time.Duration) error
	// Report learns of each failed attempt; nil reports nothing.
	Report func(address string, err error)
}

// Sleep is the wall clock's Client.Sleep.
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

// RollAnswer is the answer to a bundle that was accepted, now or before.
type RollAnswer struct {
	Version  uint64        `json:"version"`
	Digest   bundle.Digest `json:"digest"`
	Accepted bool          `json:"accepted"`
}

// Refusal is an answer that any other instance would give as well.
type Refusal struct {
	// Status is that of HTTP.
	Status int
	// Code is stable across releases; Message is for people.
	Code    string
	Message string
}

// Error is the message with its code.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused (%s, status %d): %s", r.Code, r.Status, r.Message)
}

// Roll sends a signed bundle. After a lost answer it sends the same bytes to
// the next address; acceptance gives them the same answer as the first time.
// The error is a *Refusal or wraps ErrUnreachable.
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

// Status reads what one instance knows.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	status := new(Status)
	err := c.try(ctx, func(address string) error {
		*status = Status{}
		return c.call(ctx, http.MethodGet, address, StatusPath, nil, status)
	})
	return status, err
}

// try runs one call at each address in turn until one answers.
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

// call sends one request and decodes its answer.
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return errors.Annotate(err, address)
	}
	return answer(address, response.StatusCode, data, into)
}

// answer tells a refusal from a failure that another instance may not have.
func answer(address string, status int, data []byte, into any) error {
	switch {
	case status == http.StatusOK:
		if err := json.Unmarshal(data, into); err != nil {
			return errors.Annotatef(err, "%s: answer", address)
		}
		return nil
	case status >= http.StatusInternalServerError || status == http.StatusTooManyRequests:
		return errors.Errorf("%s: status %d: %s", address, status, short(data))
	default:
		return refusal(status, data)
	}
}

// refusal reads the error form of api/design, or takes the body as it is.
func refusal(status int, data []byte) *Refusal {
	var form struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal(data, &form); err != nil || form.Error.Code == "" {
		return &Refusal{Status: status, Code: "unknown", Message: short(data)}
	}
	return &Refusal{Status: status, Code: form.Error.Code, Message: form.Error.Message}
}

// short is the start of an answer, on one line.
func short(data []byte) string {
	const most = 300
	if len(data) > most {
		data = data[:most]
	}
	return strings.Join(strings.Fields(string(data)), " ")
}
