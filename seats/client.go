package seats

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// Client submits jobs to an entry over HTTP.
type Client struct {
	base string
	http *http.Client
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithHTTPClient sets the HTTP client. The default is http.DefaultClient.
func WithHTTPClient(h *http.Client) ClientOption {
	return func(c *Client) { c.http = h }
}

// NewClient returns a client for the entry with the given base URL, such as
// "http://127.0.0.1:7400".
func NewClient(base string, opts ...ClientOption) *Client {
	c := &Client{base: base, http: http.DefaultClient}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Submit sends the job and waits for its answer. After an error the job may or
// may not have run; submitting it again unchanged is safe.
func (c *Client) Submit(ctx context.Context, service string, j Job) (Answer, error) {
	body, err := json.Marshal(j)
	if err != nil {
		return Answer{}, fmt.Errorf("encode job: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.jobsURL(service), bytes.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	return c.do(req)
}

func (c *Client) jobsURL(service string) string {
	return c.base + "/v1/services/" + url.PathEscape(service) + "/jobs"
}

func (c *Client) do(req *http.Request) (Answer, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{}, fmt.Errorf("read answer: %w", err)
	}
	var a Answer
	if err := json.Unmarshal(raw, &a); err != nil || a.State == "" {
		return Answer{}, fmt.Errorf("%s: no answer of a job: %.200q", resp.Status, raw)
	}
	return a, nil
}
