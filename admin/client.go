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
	callTimeout    = 6 * time.Second
	maxAnswerBytes = 16 << 20
)

// Client asks one process through its administration API.
type Client struct {
	address string
	token   string
	http    *http.Client
}

// New returns a client of the process with the administration address.
func New(address, token string) *Client {
	return &Client{address: address, token: token, http: &http.Client{Timeout: callTimeout}}
}

// Status asks for the process's state.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, "/admin/v1/status")
}

// Engines asks for the engines of the process's availability zone.
func (c *Client) Engines(ctx context.Context) ([]Engine, error) {
	return get[[]Engine](ctx, c, "/admin/v1/engines")
}

// Orders asks for the journal of intents.
func (c *Client) Orders(ctx context.Context) ([]order.Record, error) {
	return get[[]order.Record](ctx, c, "/admin/v1/orders")
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var answer T
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, http.NoBody)
	if err != nil {
		return answer, fmt.Errorf("ask %s: %w", c.address, err)
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer, fmt.Errorf("ask %s: %w", c.address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return answer, fmt.Errorf("ask %s: status %d: %s", c.address, response.StatusCode, text)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return answer, fmt.Errorf("ask %s: %w", c.address, err)
	}
	return answer, nil
}
