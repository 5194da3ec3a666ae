// Package target runs tasks on an agent's target over HTTP.
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

// Headers of a task request.
const (
	HeaderJob  = "X-Job"
	HeaderTask = "X-Task"
)

// Limits of a task request.
const (
	dialTimeout = time.Second
	// maxOutput is the largest accepted response body, in bytes.
	maxOutput = 1 << 20
)

// Client sends tasks to one target. It opens a connection for each task: if the
// target closes an idle keep-alive connection while a request is being sent,
// the client cannot know whether the request was read.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client for the target with the given base URL, such as
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

// Run sends the task and waits for its end. It returns wire.NotRun only if no
// byte of the request can have been sent.
func (c *Client) Run(ctx context.Context, s wire.Start) (wire.Status, code.Code, []byte) {
	body, err := requestBody(s)
	if err != nil {
		return wire.Failed, code.BadJSON, nil
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.url, nil)
	if err != nil {
		return wire.NotRun, code.TargetUnreachable, nil
	}
	// Without GetBody the transport cannot replay the body, so it never sends
	// the request twice.
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
	return readResponse(resp, s.Raw)
}

func readResponse(resp *http.Response, raw bool) (wire.Status, code.Code, []byte) {
	out, err := io.ReadAll(io.LimitReader(resp.Body, maxOutput+1))
	if err != nil || len(out) > maxOutput || resp.StatusCode/100 != 2 {
		return wire.Failed, code.TaskFailed, nil
	}
	out, err = encodeOutput(out, raw)
	if err != nil {
		return wire.Failed, code.TaskFailed, nil
	}
	return wire.Done, code.OK, out
}

// requestBody returns the request body. A raw payload is base64 in a JSON string.
func requestBody(s wire.Start) ([]byte, error) {
	if !s.Raw {
		return s.Payload, nil
	}
	var body []byte
	err := json.Unmarshal(s.Payload, &body)
	return body, err
}

// encodeOutput encodes the response body as JSON. A raw body becomes a base64 string,
// a JSON body is compacted, and any other body becomes a string.
func encodeOutput(out []byte, raw bool) ([]byte, error) {
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
