// Package socket abstracts the network, so that tests can replace it.
package socket

import (
	"net"
	"time"
)

// dialTimeout bounds the time to open a connection. Network delays are some tens of milliseconds.
const dialTimeout = time.Second

// Network opens TCP listeners and connections.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   DialFunc
}

// System returns the network of the operating system.
func System() Network {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return Network{
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial:   ReportResets(dialer.DialContext),
	}
}
