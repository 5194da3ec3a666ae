// Package store is a client for the platform's key-value service, with
// compare-and-swap and long-poll watches, and for its host list.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

// Headers and query parameters of the protocol.
const (
	HeaderRevision = "X-Revision"
	ParamRevision  = "revision"
	ParamAfter     = "after"
	ParamWait      = "wait_ms"
)

// MaxValue is the largest value that the service stores, in bytes.
const MaxValue = 1 << 20

// callTimeout limits a call, in addition to the wait time of a watch.
const callTimeout = 2 * time.Second

// Errors of the client. After any error of Swap other than ErrConflict, the
// swap may or may not have been applied.
var (
	ErrConflict = errors.New("store: the revision has moved")
	ErrStatus   = errors.New("store: unexpected status")
)

// Value is the value of a key. A missing key has revision zero.
type Value struct {
	Data     []byte
	Revision uint64
}

// Host is an element of the host list, which may be out of date.
type Host struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// HostLeaving is the state of a host that will be shut down.
const HostLeaving = "leaving"

// Client calls the platform's services.
type Client struct {
	base  string
	http  *http.Client
	calls atomic.Uint64
}

// NewClient returns a client for the platform with the given base URL, such as
// "http://127.0.0.1:7300".
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{}}
}

// Calls returns the number of calls made so far.
func (c *Client) Calls() uint64 {
	return c.calls.Load()
}

// Get returns the value of a key.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	return c.read(ctx, key, nil, callTimeout)
}

// Watch returns the value of a key as soon as its revision exceeds after, or
// the current value once wait has passed.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	q := url.Values{
		ParamAfter: {strconv.FormatUint(after, 10)},
		ParamWait:  {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return c.read(ctx, key, q, wait+callTimeout)
}

// Swap writes data if the key's revision equals base, and returns the new
// revision.
func (c *Client) Swap(ctx context.Context, key string, base uint64, data []byte) (uint64, error) {
	q := url.Values{ParamRevision: {strconv.FormatUint(base, 10)}}
	resp, raw, err := c.call(ctx, http.MethodPut, c.keyURL(key)+"?"+q.Encode(), data, callTimeout)
	if err != nil {
		return 0, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return revisionOf(resp)
	case http.StatusConflict:
		return 0, ErrConflict
	}
	return 0, fmt.Errorf("%w: %s: %.80s", ErrStatus, resp.Status, raw)
}

// Hosts returns the host list.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	resp, raw, err := c.call(ctx, http.MethodGet, c.base+"/v1/hosts", nil, callTimeout)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s", ErrStatus, resp.Status)
	}
	var hosts []Host
	if err := json.Unmarshal(raw, &hosts); err != nil {
		return nil, fmt.Errorf("store: host list: %w", err)
	}
	return hosts, nil
}

func (c *Client) keyURL(key string) string {
	return c.base + "/v1/kv/" + url.PathEscape(key)
}

func (c *Client) read(ctx context.Context, key string, q url.Values, timeout time.Duration) (Value, error) {
	resp, raw, err := c.call(ctx, http.MethodGet, c.keyURL(key)+"?"+q.Encode(), nil, timeout)
	if err != nil {
		return Value{}, err
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNotFound:
	default:
		return Value{}, fmt.Errorf("%w: %s", ErrStatus, resp.Status)
	}
	revision, err := revisionOf(resp)
	if err != nil || resp.StatusCode == http.StatusNotFound {
		return Value{}, err
	}
	return Value{Data: raw, Revision: revision}, nil
}

func (c *Client) call(ctx context.Context, method, url string, body []byte, timeout time.Duration) (*http.Response, []byte, error) {
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, MaxValue+1))
	if err != nil {
		return nil, nil, fmt.Errorf("store: read: %w", err)
	}
	return resp, raw, nil
}

func revisionOf(resp *http.Response) (uint64, error) {
	revision, err := strconv.ParseUint(resp.Header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("store: revision: %w", err)
	}
	return revision, nil
}
