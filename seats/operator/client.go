// Package operator is the operators' client of an entry.
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

// Client calls the operators' interface of one entry.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client of the entry at base, with the bearer token.
func NewClient(base, token string) *Client {
	return &Client{base: base, token: token, http: http.DefaultClient}
}

// Plan asks what the intent would change.
func (c *Client) Plan(ctx context.Context, in config.Intent) (config.Plan, error) {
	var p config.Plan
	err := c.call(ctx, http.MethodPost, "/v1/plan", in, &p)
	return p, err
}

// Confirm puts a plan in force.
func (c *Client) Confirm(ctx context.Context, p config.Plan) (entry.Confirmed, error) {
	var done entry.Confirmed
	err := c.call(ctx, http.MethodPost, "/v1/confirm", p, &done)
	return done, err
}

// Status asks an entry for its status.
func (c *Client) Status(ctx context.Context) (entry.Status, error) {
	var s entry.Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// Config asks for the configuration in force.
func (c *Client) Config(ctx context.Context) (config.Document, error) {
	var d config.Document
	err := c.call(ctx, http.MethodGet, "/v1/config", nil, &d)
	return d, err
}

// call makes one call. A problem that the entry answers with is an error that
// carries its code.
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
