package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/buckthorntrack/buckthorntrack/order"
)

const (
	requestTimeout   = 6 * time.Second
	maxResponseBytes = 16 << 20
)

// Client queries the administration API of one process.
type Client struct {
	address string
	token   string
	http    *http.Client
}

// New returns a client for the administration listener at the address. The token may be empty.
func New(address, token string) *Client {
	return &Client{address: address, token: token, http: &http.Client{Timeout: requestTimeout}}
}

// Status returns the state of the process.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, "/admin/v1/status")
}

// Engines returns the engines in the availability zone of the process.
func (c *Client) Engines(ctx context.Context) ([]Engine, error) {
	return get[[]Engine](ctx, c, "/admin/v1/engines")
}

// Orders returns the journal of intents of all engines.
func (c *Client) Orders(ctx context.Context) ([]order.Record, error) {
	return get[[]order.Record](ctx, c, "/admin/v1/orders")
}

// get decodes the JSON response of a GET request.
func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var result T
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, http.NoBody)
	if err != nil {
		return result, fmt.Errorf("query administration API at %s: %w", c.address, err)
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return result, fmt.Errorf("query administration API at %s: %w", c.address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return result, fmt.Errorf("query administration API at %s: status %d: %s", c.address, response.StatusCode, text)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&result); err != nil {
		return result, fmt.Errorf("query administration API at %s: %w", c.address, err)
	}
	return result, nil
}
