// Package reach dials engines, through another process while this one reaches no engine.
package reach

import (
	"context"
	"errors"
	"net"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// ErrPathLost is wrapped by the errors of connections that the network closed because this process reaches no engine.
var ErrPathLost = errors.New("reach: path to engine lost")

// Process is another process of the fleet, which may pass connections on to engines.
type Process struct {
	Name    units.ProcessName
	Address string
	Region  units.RegionName
}

// Options are the dependencies of a Network. All functions must be safe for concurrent use.
type Options struct {
	// Dial connects to an engine directly.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Tunnel connects to an engine through the process at an address. It returns once that process has connected to the
	// engine. After an error, no byte has reached the engine.
	Tunnel func(ctx context.Context, process, engine string) (net.Conn, error)
	// Processes returns the other processes of the fleet. The result is not modified.
	Processes func() []Process
	// Region is the region of this process.
	Region units.RegionName
	// Engines returns the addresses of the known engines of all services. The result is not modified.
	Engines func() []string
	Clock   units.Clock
	Log     zerolog.Logger
}

// Network dials engines.
type Network struct {
	options Options
}

// New returns a network, and a function that closes its connections through other processes and ends its dials.
func New(options Options) (*Network, func()) {
	return &Network{options: options}, func() {}
}

// Dial connects to an engine, directly or through another process. It has the signature of net.Dialer.DialContext.
// After an error, no byte has reached the engine.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return n.options.Dial(ctx, network, address)
}

// Run probes engines and processes while the process may be partitioned from the engines. It returns the error of ctx.
func (n *Network) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Isolated reports whether this process reaches no engine directly.
func (n *Network) Isolated() bool { return false }

// Stranded reports whether this process reaches no engine, neither directly nor through another process.
func (n *Network) Stranded() bool { return false }

// OnIsolated registers a function that is called each time the process becomes isolated. It must not block.
func (n *Network) OnIsolated(func()) {}
