// Package links makes and accepts connections.
package links

import (
	"context"
	"net"
	"time"
)

// dialTimeout bounds the time for a new connection; links take some tens of milliseconds.
const dialTimeout = time.Second

// Network makes and accepts connections.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// System returns the network of the operating system.
func System() Network {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return Network{
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial:   dialer.DialContext,
	}
}
