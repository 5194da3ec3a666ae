// Package target performs tasks at the target beside an agent, over HTTP.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats/job"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// Headers of a task's request.
const (
	HeaderJob  = "X-Job"
	HeaderTask = "X-Task"
)

// Bounds of a task's request.
const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = time.Second
	// maxOutput is the largest output that is taken, in bytes.
	maxOutput = 1 << 20
)

// Client sends tasks to one target. Each task has a connection of its own:
// one that was kept may have been closed by the target meanwhile, and then it
// can't be known whether the request was read.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the target at base, such as
// "http://127.0.0.1:8080".
func NewClient(base string) *Client {
	return &Client{
		url: base + "/tasks",
		http: &http.Client{
			Transport: &http.Transport{
				DisableKeepAlives: true,
				DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Run performs the task and returns how it ended: NotRun only where no
// connection was made, so that nothing can have been sent.
func (c *Client) Run(ctx context.Context, s wire.Start) (wire.Status, code.Code, []byte) {
	body, err := payload(s)
	if err != nil {
		return wire.Failed, code.BadJSON, nil
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.url, nil)
	if err != nil {
		return wire.NotRun, code.TargetUnreachable, nil
	}
	// A body that can't be replayed and no GetBody keep the transport from
	// ever sending the request a second time.
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderJob, job.IDOf(s.Key.Job))
	req.Header.Set(HeaderTask, s.TaskID)
	resp, err := c.http.Do(req)
	if err != nil && !connected.Load() {
		return wire.NotRun, code.TargetUnreachable, nil
	}
	if err != nil {
		return wire.Failed, code.TargetLost, nil
	}
	defer resp.Body.Close()
	return read(resp, s.Raw)
}

func read(resp *http.Response, raw bool) (wire.Status, code.Code, []byte) {
	out, err := io.ReadAll(io.LimitReader(resp.Body, maxOutput+1))
	if err != nil || len(out) > maxOutput || resp.StatusCode/100 != 2 {
		return wire.Failed, code.TaskFailed, nil
	}
	out, err = output(out, raw)
	if err != nil {
		return wire.Failed, code.TaskFailed, nil
	}
	return wire.Done, code.OK, out
}

// payload returns the bytes for the target.
func payload(s wire.Start) ([]byte, error) {
	if !s.Raw {
		return s.Payload, nil
	}
	var body []byte
	err := json.Unmarshal(s.Payload, &body)
	return body, err
}

// output returns the target's answer as JSON: bytes in base64 for a single
// request, else its own JSON, or its text as a string.
func output(out []byte, raw bool) ([]byte, error) {
	if raw {
		return json.Marshal(out)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, out); err == nil {
		return compact.Bytes(), nil
	}
	text, err := json.Marshal(string(out))
	return text, err
}
