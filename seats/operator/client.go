// Package operator is a client for the operators' HTTP API of an entry.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/entry"
)

// Client calls the operators' HTTP API of one entry.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client for the entry with the given base URL. Calls are
// authorized by the bearer token.
func NewClient(base, token string) *Client {
	return &Client{base: base, token: token, http: http.DefaultClient}
}

// Plan returns the changes that the intent would make.
func (c *Client) Plan(ctx context.Context, in config.Intent) (config.Plan, error) {
	var p config.Plan
	err := c.call(ctx, http.MethodPost, "/v1/plan", in, &p)
	return p, err
}

// Confirm applies a plan.
func (c *Client) Confirm(ctx context.Context, p config.Plan) (entry.Confirmed, error) {
	var confirmed entry.Confirmed
	err := c.call(ctx, http.MethodPost, "/v1/confirm", p, &confirmed)
	return confirmed, err
}

// Status returns the status of the entry.
func (c *Client) Status(ctx context.Context) (entry.Status, error) {
	var s entry.Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// Config returns the active configuration.
func (c *Client) Config(ctx context.Context) (config.Document, error) {
	var d config.Document
	err := c.call(ctx, http.MethodGet, "/v1/config", nil, &d)
	return d, err
}

// call sends one request. If the entry responds with a problem, the error has
// the problem's code.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		var p entry.Problem
		if err := json.Unmarshal(raw, &p); err != nil || p.Code == 0 {
			return fmt.Errorf("%s: %.200s", resp.Status, raw)
		}
		return code.Errorf(code.Code(p.Code), "%d %s: %s", p.Code, p.Name, p.Message)
	}
	return json.Unmarshal(raw, out)
}
