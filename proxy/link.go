package proxy

import (
	"context"
	"net"

	"github.com/buckthorntrack/buckthorntrack/links"
)

// dialFunc opens connections.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// linked returns a function that opens connections which remember their requests.
func linked(dial dialFunc, o links.Options) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return links.New(conn, o), nil
	}
}

type newConnectionKey struct{}

// overNewConnection returns a context that makes a Pool open a connection for the request.
func overNewConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnectionKey{}, true)
}

func needsNewConnection(ctx context.Context) bool {
	return ctx.Value(newConnectionKey{}) != nil
}
