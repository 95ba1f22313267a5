package reach

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// slowDial is the time after which a direct dial may be joined by one through another process.
	slowDial = 150 * time.Millisecond
	// doubtInterval is the time between two checks whether a slow direct dial gets one through another process.
	doubtInterval = 50 * time.Millisecond
	// hangTime is the time after which a direct dial that ends without a connection counts as timed out, whoever ended it.
	hangTime = 250 * time.Millisecond
	// hopStagger and maxHops bound the attempts at several processes for one connection, hopTimeout all of them.
	hopStagger  = 100 * time.Millisecond
	hopTimeout  = time.Second
	maxParallel = 3
	maxHops     = 8
	// maxUnreachable is the number of processes that must fail to reach an engine before it counts as down.
	maxUnreachable = 2
)

var errNoProcess = errors.New("reach: no process passes connections on")

// dialed is the result of a dial.
type dialed struct {
	conn net.Conn
	err  error
}

// Dial connects to an engine, directly or through another process. It has the signature of net.Dialer.DialContext.
// After an error, no byte has reached the engine.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if n.load() == isolated {
		if n.Stranded() {
			return nil, fmt.Errorf("connect to %s: %w", address, errNoProcess)
		}
		c, err := n.dialAway(ctx, address)
		if err == nil || ctx.Err() != nil || n.load() == isolated {
			return c, err
		}
	}
	return n.dialDirect(ctx, network, address)
}

// DialDirect connects to an engine directly, whatever the process believes. It is for connections that the process passes on
// for others, which must not go through a third process.
func (n *Network) DialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	began := n.options.Clock()
	timer := time.AfterFunc(slowDial, func() { n.slow(address) })
	defer timer.Stop()
	c, err := n.options.Dial(ctx, network, address)
	return n.record(ctx, began, address, c, err)
}

// record records the outcome of a direct dial and returns its connection. A dial that its caller soon ended tells nothing.
func (n *Network) record(
	ctx context.Context, began time.Time, address string, c net.Conn, err error,
) (net.Conn, error) {
	if err == nil {
		n.counts.direct.Add(1)
		n.succeeded(address)
		return n.track(c, address), nil
	}
	elapsed := n.options.Clock().Sub(began)
	if ctx.Err() == nil || elapsed >= hangTime {
		n.counts.directFailed.Add(1)
		n.failed(address, elapsed >= hangTime)
	}
	return nil, err
}

// dialDirect dials directly, beside a detour if there are signs of a partition. The first connection is used.
func (n *Network) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	direct, abort := context.WithCancel(ctx)
	defer abort()
	d := &detour{network: n, ctx: ctx, address: address, abort: abort, result: make(chan dialed, 1)}
	timer := time.AfterFunc(slowDial, func() { d.watch(direct) })
	began := n.options.Clock()
	c, err := n.options.Dial(direct, network, address)
	timer.Stop()
	c, err = n.record(direct, began, address, c, err)
	if err == nil {
		d.drop()
		return c, nil
	}
	if ctx.Err() == nil && n.doubts(address) {
		d.start()
	}
	r, ok := d.wait()
	if !ok {
		return nil, err
	}
	if r.err != nil {
		return nil, errors.Join(err, r.err)
	}
	return r.conn, nil
}

// detour is a dial through other processes beside a direct one.
type detour struct {
	network *Network
	ctx     context.Context
	address string
	abort   func()      // ends the direct dial
	result  chan dialed // one result once started
	mu      sync.Mutex
	cancel  func() // nil until started
	ended   bool   // no start any more
}

// watch starts the detour as soon as there are signs of a partition, while the direct dial lasts.
func (d *detour) watch(direct context.Context) {
	d.network.slow(d.address)
	for !d.network.doubts(d.address) {
		if !wait.Sleep(direct, doubtInterval) {
			return
		}
	}
	d.start()
}

func (d *detour) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cancel != nil || d.ended {
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	spawned := d.network.spawn(func() {
		defer cancel()
		c, err := d.network.dialAway(ctx, d.address)
		d.result <- dialed{conn: c, err: err}
		if err == nil {
			d.abort()
		}
	})
	if !spawned {
		cancel()
		return
	}
	d.cancel = cancel
}

// end prevents a later start. It returns a function that cancels the detour, nil if it has not started.
func (d *detour) end() (cancel func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	return d.cancel
}

// drop closes the connection of a detour that is not needed.
func (d *detour) drop() {
	cancel := d.end()
	if cancel == nil {
		return
	}
	cancel()
	go func() { // ends soon, as the detour is canceled
		if r := <-d.result; r.conn != nil {
			_ = r.conn.Close()
		}
	}()
}

// wait returns the result of a detour that has started.
func (d *detour) wait() (dialed, bool) {
	if d.end() == nil {
		return dialed{}, false
	}
	return <-d.result, true
}

// hop is the result of an attempt at one process.
type hop struct {
	conn net.Conn
	err  error
}

// dialAway connects to an engine through another process. It tries few processes at a time, the next one at once when one
// fails. The attempts carry no values of ctx: the hooks of its HTTP trace are about the connection to the engine.
func (n *Network) dialAway(ctx context.Context, engine string) (net.Conn, error) {
	attempts, cancel := context.WithTimeout(n.ctx, hopTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	order := n.order()
	order = order[:min(len(order), maxHops)]
	results := make(chan hop, len(order))
	started, ended, unreachable, err := 0, 0, 0, errNoProcess
	defer func() {
		if rest := started - ended; rest > 0 {
			go discard(results, rest) // ends once the attempts, which are canceled, have ended
		}
	}()
	stagger := time.NewTicker(hopStagger)
	defer stagger.Stop()
	for begin := true; ; {
		if begin && started < len(order) && started-ended < maxParallel {
			p := order[started]
			started++
			go func() { results <- n.attempt(attempts, p, engine) }()
			stagger.Reset(hopStagger)
		}
		if started == ended {
			n.counts.awayFailed.Add(1)
			return nil, fmt.Errorf("connect to %s through another process: %w", engine, err)
		}
		begin = false
		select {
		case r := <-results:
			ended++
			if r.err == nil {
				n.counts.away.Add(1)
				n.away.Add(1)
				return &awayConn{Conn: r.conn, network: n}, nil
			}
			err, begin = r.err, attempts.Err() == nil
			if errors.Is(r.err, ErrEngineUnreachable) {
				unreachable++
				begin = begin && unreachable < maxUnreachable
			}
		case <-stagger.C:
			begin = true
		case <-attempts.Done():
			n.counts.awayFailed.Add(1)
			return nil, fmt.Errorf("connect to %s through another process: %w", engine, attempts.Err())
		}
	}
}

// discard closes the connections of attempts that are not needed.
func discard(results <-chan hop, count int) {
	for range count {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}

// attempt connects to an engine through a process and records the outcome.
func (n *Network) attempt(ctx context.Context, p Process, engine string) hop {
	c, err := n.options.Tunnel(ctx, p.Address, engine)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Clock()
	switch {
	case err == nil:
		n.choice.passed(p.Name, now)
	case errors.Is(err, ErrEngineUnreachable):
		n.choice.willing(p.Name)
		n.belief.confirmed(engine, now)
	case errors.Is(ctx.Err(), context.Canceled):
		return hop{err: err}
	default:
		n.choice.failed(p.Name, now)
	}
	n.updateStranded()
	return hop{conn: c, err: err}
}
