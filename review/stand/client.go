//go:build review

package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readyInterval is how often the platform asks each machine whether it is ready.
	readyInterval = time.Second
	// readyMisses is the number of misses in a row that take a machine out of rotation.
	readyMisses = 2
	// connectLimit is how long clients allow a new channel to be established.
	connectLimit = time.Second
	// retryShare is the part of the time left up to which clients honour Retry-After.
	retryShare = 3
)

// balancer is a stand-in for the platform's address: it hands new channels to the machines that are in rotation.
type balancer struct {
	record *record

	mu       sync.Mutex
	machines map[*front]*rotation
	stop     chan struct{}
	done     sync.WaitGroup
}

type rotation struct {
	in     bool
	misses int
}

func newBalancer(r *record) *balancer {
	b := &balancer{record: r, machines: map[*front]*rotation{}, stop: make(chan struct{})}
	b.done.Go(func() {
		ticker := time.NewTicker(readyInterval)
		defer ticker.Stop()
		for {
			select {
			case <-b.stop:
				return
			case <-ticker.C:
				b.ask()
			}
		}
	})
	return b
}

func (b *balancer) end() {
	close(b.stop)
	b.done.Wait()
}

func (b *balancer) add(n *front) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.machines[n] = &rotation{}
}

func (b *balancer) remove(n *front) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.machines, n)
}

// ask asks all machines whether they are ready.
func (b *balancer) ask() {
	var asked sync.WaitGroup
	b.mu.Lock()
	for n := range b.machines {
		asked.Go(func() {
			ready := n.isReady()
			b.mu.Lock()
			defer b.mu.Unlock()
			r, ok := b.machines[n]
			if !ok {
				return
			}
			was := r.in
			switch {
			case ready:
				r.in, r.misses = true, 0
			default:
				r.misses++
				r.in = r.in && r.misses < readyMisses
			}
			if was != r.in {
				b.record.printf("platform: %s in rotation: %t", n.name, r.in)
			}
		})
	}
	b.mu.Unlock()
	asked.Wait()
}

// inRotation returns the number of machines in rotation.
func (b *balancer) inRotation() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, r := range b.machines {
		if r.in {
			count++
		}
	}
	return count
}

// pick returns the machine for a new channel: one in rotation, or any if fewer than half are.
func (b *balancer) pick() *front {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in, all []*front
	for n, r := range b.machines {
		all = append(all, n)
		if r.in {
			in = append(in, n)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	if len(in) == 0 {
		return nil
	}
	return in[mathrand.IntN(len(in))]
}

// attempt is one request: one client attempt with its own id.
type attempt struct {
	id, line string
	machine  string
	sent     time.Time
	ended    time.Time
	status   int    // 0 if no whole answer came
	signed   bool   // the answer has an engine's signature
	body     string // of a whole answer
	after    time.Duration
	closed   bool // the machine closes the channel after its answer
	err      error
}

func (a attempt) served() bool { return a.status >= 200 && a.status < 300 && a.signed }

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// call sends a request on a new channel and waits for its answer until the deadline.
func call(r *record, n *front, host, method, path string, body []byte, left time.Duration) attempt {
	a := attempt{id: newID(), line: method + " " + path, sent: time.Now()}
	if n == nil {
		a.err, a.ended = io.ErrClosedPipe, time.Now()
		return a
	}
	a.machine = n.name
	conn, err := net.DialTimeout("tcp", n.ip+":"+portFront, min(connectLimit, left))
	if err != nil {
		a.err, a.ended = err, time.Now()
		r.printf("client: %s %s to %s: no channel: %v", a.id, a.line, n.name, err)
		return a
	}
	defer func() { _ = conn.Close() }()
	exchange(conn, &a, host, method, path, body, left, true)
	r.printf("client: %s %s to %s: status %d signed %t after %d ms %v",
		a.id, a.line, n.name, a.status, a.signed, a.ended.Sub(a.sent).Milliseconds(), a.err)
	return a
}

// exchange sends the request on the channel and reads its answer, which may come before the request is sent.
func exchange(conn net.Conn, a *attempt, host, method, path string, body []byte, left time.Duration, last bool) {
	defer func() { a.ended = time.Now() }()
	_ = conn.SetDeadline(time.Now().Add(left))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, a.id, left.Milliseconds())
	if strings.HasPrefix(path, "/query/") {
		head += "X-Model: m\r\nX-Token-Counts: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410," + a.id[:8] + ":250\r\n"
	}
	if method != http.MethodGet {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	if last {
		head += "Connection: close\r\n"
	}
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(append([]byte(head+"\r\n"), body...))
		written <- err
	}()
	a.read(conn, method)
	if a.closed || a.err != nil {
		_ = conn.SetDeadline(time.Now()) // the rest of the request is not sent
	}
	if err := <-written; err != nil {
		a.closed = true
	}
}

// read reads the answer to the request.
func (a *attempt) read(conn net.Conn, method string) {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		a.err = err
		return
	}
	a.closed = response.Close
	a.status, a.body = response.StatusCode, string(text)
	a.signed = response.Header.Get("X-Engine-Signature") != ""
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.after = time.Duration(seconds * float64(time.Second))
	}
}

// traffic sends requests at a steady rate and keeps all attempts.
type traffic struct {
	record   *record
	balancer *balancer
	host     string
	budget   time.Duration
	every    time.Duration

	mu       sync.Mutex
	attempts []attempt
	count    atomic.Int64
	stop     chan struct{}
	done     sync.WaitGroup
}

// start begins to send. Every second request is safe, the others are unsafe.
func (t *traffic) start() {
	t.stop = make(chan struct{})
	t.done.Go(func() {
		ticker := time.NewTicker(t.every)
		defer ticker.Stop()
		for {
			select {
			case <-t.stop:
				return
			case <-ticker.C:
				t.done.Go(t.ask)
			}
		}
	})
}

// ask sends one request, and once more after a refusal, as the sheet's clients do.
func (t *traffic) ask() {
	method, path, body := http.MethodGet, "/avail/1", []byte(nil)
	if t.count.Add(1)%2 == 0 {
		method, path, body = http.MethodPost, "/deposit/1", []byte("boat=7")
	}
	deadline := time.Now().Add(t.budget)
	for retries := 0; ; retries++ {
		a := call(t.record, t.balancer.pick(), t.host, method, path, body, time.Until(deadline))
		t.mu.Lock()
		t.attempts = append(t.attempts, a)
		t.mu.Unlock()
		left := time.Until(deadline)
		promised := a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421
		if retries > 0 || left <= 0 || a.served() || method != http.MethodGet && !promised {
			return
		}
		time.Sleep(min(a.after, left/retryShare))
	}
}

// end stops sending and waits for the last answers.
func (t *traffic) end() {
	close(t.stop)
	t.done.Wait()
}

// share returns how many requests were sent between two times, and how many of them were served.
func (t *traffic) share(from, to time.Time) (sent, served int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return shareOf(t.attempts, from, to)
}

// shareOf returns how many of the attempts were sent between two times, and how many of them were served.
func shareOf(attempts []attempt, from, to time.Time) (sent, served int) {
	for _, a := range attempts {
		if a.sent.Before(from) || !a.sent.Before(to) {
			continue
		}
		sent++
		if a.served() {
			served++
		}
	}
	return sent, served
}
