// Package platformhttp holds the HTTP clients of the platform: the weight store
// and the list of instances.
package platformhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/transport"
)

// Paths of the platform.
const (
	PathWeights   = "/weights/"
	PathInstances = "/instances"
)

// maxListBytes bounds a list of instances.
const maxListBytes = 8 << 20

// ErrObjectNotFound: the weight store has no object with the key.
var ErrObjectNotFound = errors.New("no such object in the weight store")

// ErrTruncated: an object ended before its announced size.
var ErrTruncated = errors.New("the object ended early")

// WeightStore is the client of the weight store.
type WeightStore struct {
	base       string
	transports *transport.Transports
}

// NewWeightStore returns a client for the store at address (IP:port).
func NewWeightStore(address string, t *transport.Transports) *WeightStore {
	return &WeightStore{base: "http://" + address, transports: t}
}

// Size returns the size of an object in bytes, or ErrObjectNotFound.
func (s *WeightStore) Size(ctx context.Context, key string) (int64, error) {
	resp, err := s.send(ctx, http.MethodHead, key, 0)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.ContentLength, nil
}

// Read returns an object from offset on, or ErrObjectNotFound. A body that is shorter
// than announced ends with ErrTruncated. The caller must close it.
func (s *WeightStore) Read(ctx context.Context, key string, offset int64) (io.ReadCloser, error) {
	resp, err := s.send(ctx, http.MethodGet, key, offset)
	if err != nil {
		return nil, err
	}
	if offset > 0 && resp.StatusCode != http.StatusPartialContent {
		resp.Body.Close()
		return nil, verdict.New(verdict.Ran, ports.CodeTargetError, "the weight store gave the whole object instead of a part")
	}
	return &sizedBody{ReadCloser: resp.Body, remaining: resp.ContentLength}, nil
}

func (s *WeightStore) send(ctx context.Context, method, key string, offset int64) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, s.base+PathWeights+url.PathEscape(key), nil)
	if err != nil {
		return nil, err
	}
	if offset > 0 {
		req.Header.Set("Range", "bytes="+strconv.FormatInt(offset, 10)+"-")
	}
	resp, err := s.transports.Do(req, false)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < 300 {
		return resp, nil
	}
	resp.Body.Close()
	return nil, storeError(resp)
}

func storeError(resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusNotFound:
		return ErrObjectNotFound
	case http.StatusTooManyRequests:
		e := verdict.New(verdict.NotRun, ports.CodeRejected, "the weight store is at its rate")
		e.RetryAfter = ports.RetryAfter(resp.Header)
		return e
	}
	return verdict.New(verdict.Ran, ports.CodeTargetError, fmt.Sprintf("the weight store answered %d", resp.StatusCode))
}

// sizedBody ends with ErrTruncated if it is shorter than announced.
type sizedBody struct {
	io.ReadCloser
	remaining int64
}

// Read returns ErrTruncated for an end or an error before the announced size.
func (e *sizedBody) Read(p []byte) (int, error) {
	n, err := e.ReadCloser.Read(p)
	e.remaining -= int64(n)
	if err != nil && e.remaining > 0 {
		return n, ErrTruncated
	}
	return n, err
}

// InstanceList is the client of the list of instances.
type InstanceList struct {
	url        string
	transports *transport.Transports
}

// NewInstanceList returns a client for the list at address (IP:port).
func NewInstanceList(address string, t *transport.Transports) *InstanceList {
	return &InstanceList{url: "http://" + address + PathInstances, transports: t}
}

// Instances returns the list, which lags.
func (l *InstanceList) Instances(ctx context.Context) (ports.InstanceSnapshot, error) {
	var out ports.InstanceSnapshot
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return out, err
	}
	resp, err := l.transports.Do(req, false)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return out, verdict.New(verdict.Ran, ports.CodeTargetError, fmt.Sprintf("the list of instances answered %d", resp.StatusCode))
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err == nil {
		err = json.Unmarshal(data, &out)
	}
	if err != nil {
		return out, &verdict.Error{Verdict: verdict.Ran, Code: ports.CodeTargetError, Message: "malformed list of instances", Err: err}
	}
	return out, nil
}
