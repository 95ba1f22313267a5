package reach

import (
	"net/http"
	"sync/atomic"
)

// Transport sends requests over the connections of a network. When the path to the engines changes, requests go over new
// connections, and the former ones are closed as soon as they are idle.
type Transport struct {
	current atomic.Pointer[http.Transport]
}

// NewTransport returns a transport, and a function that closes its idle connections. create returns a new HTTP transport
// that dials with the network.
func NewTransport(n *Network, create func() *http.Transport) (*Transport, func()) {
	t := &Transport{}
	t.current.Store(create())
	renew := func() { t.current.Swap(create()).CloseIdleConnections() }
	n.OnIsolated(renew)
	n.OnReached(renew)
	return t, func() { t.current.Load().CloseIdleConnections() }
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.current.Load().RoundTrip(r)
}
