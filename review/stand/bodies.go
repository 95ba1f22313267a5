//go:build review

package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case "bodies": many clients send bodies as large as the manifest allows at the same time.
const (
	bodyBytes = 4 << 20 // max_body_bytes of the manifest
	// bodyClients is the number of clients that send such bodies: 29 of one zone of the site, in a burst of twice as many.
	bodyClients = 58
	// smallClients is the number of clients that send small ones all the while, as many as the engines have slots.
	smallClients = 18
	smallBytes   = 600
	// bodyWork is the time that an engine works on a request, below the sheet's largest.
	bodyWork = 400 * time.Millisecond
	bodyTime = 10 * time.Second
	// burstTime is how long they come, as the site's burst of this size.
	burstTime = 5 * time.Second
	// bodyRate is the bytes a second that all of them send together, 0.8 of the link of a machine, so that no packet waits for it.
	bodyRate = 100_000_000
	// sliceBytes is the most that one of them sends at a time.
	sliceBytes = 16 << 10
	// lostAllowed is the number of channels that may be closed without an answer.
	lostAllowed = 3
)

func bodies(r *rig) (bool, error) {
	if err := r.plainDeployment("inland-a", "inland", 3, bodyWork); err != nil {
		return false, err
	}
	n, err := r.fleet.add("front-inland-a-1", "inland-a", "inland", true)
	if err != nil {
		return false, err
	}
	if err := n.start(); err != nil {
		return false, err
	}
	if !await(15*time.Second, n.isReady) {
		return false, fmt.Errorf("%w: the machine does not get ready", errNotRun)
	}
	time.Sleep(settle)
	stop := make(chan struct{})
	var watcher sync.WaitGroup
	var peak, killed atomic.Int64
	watcher.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			used := n.memory()
			peak.Store(max(peak.Load(), used))
			if used > limitMemoryMB && killed.CompareAndSwap(0, used) {
				r.say("the platform kills the process: it uses %d MB of %d", used, limitMemoryMB)
				n.signal(syscall.SIGKILL)
			}
		}
	})
	var clients sync.WaitGroup
	var sent, answered atomic.Int64
	var mu sync.Mutex
	unanswered := map[string]bool{}
	until := time.Now().Add(bodyTime)
	for i := range bodyClients + smallClients {
		size := smallBytes
		if r.trouble && i >= smallClients {
			size = bodyBytes
		}
		body := bytes.Repeat([]byte("x"), size)
		clients.Go(func() {
			end := until
			if i >= smallClients {
				time.Sleep(bodyTime / 5) // the large ones come later
				end = time.Now().Add(burstTime)
			}
			conn, err := n.bodyChannel(size)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			for time.Now().Before(end) && killed.Load() == 0 {
				a := attempt{id: newID(), line: "POST /deposit/1", machine: n.name, sent: time.Now()}
				exchange(conn, &a, host, http.MethodPost, "/deposit/1", body, 6*time.Second, false)
				r.printf("client: %s %s of %d bytes: status %d after %d ms %v", a.id, a.line, size, a.status, time.Since(a.sent).Milliseconds(), a.err)
				sent.Add(1)
				if a.status == 0 {
					mu.Lock()
					unanswered[a.id] = true
					mu.Unlock()
					return
				}
				answered.Add(1)
				if !a.served() {
					time.Sleep(max(a.after, 200*time.Millisecond))
				}
				if a.closed {
					_ = conn.Close()
					next, err := n.bodyChannel(size)
					if err != nil {
						return
					}
					conn = next
				}
			}
		})
	}
	clients.Wait()
	close(stop)
	watcher.Wait()
	lost := 0
	for _, e := range r.engines {
		for _, x := range e.all() {
			if unanswered[x.request] {
				lost++
			}
		}
	}
	r.say("%d requests, %d answered, %d not; at most %d MB in use", sent.Load(), answered.Load(), len(unanswered), peak.Load())
	r.say("%d requests were passed on to an engine and their channels closed without an answer", lost)
	return lost > lostAllowed, nil
}

// bodyChannel opens a channel for requests with bodies of the size.
func (n *front) bodyChannel(size int) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", n.ip+":"+portFront, connectLimit)
	if err != nil || size != bodyBytes {
		return conn, err
	}
	return &pacedConn{Conn: conn, pause: time.Duration(sliceBytes*bodyClients) * time.Second / bodyRate}, nil
}

// pacedConn is a channel on which a client sends no faster than its share of the link allows.
type pacedConn struct {
	net.Conn
	pause time.Duration // for each slice
}

// Write implements net.Conn.
func (c *pacedConn) Write(data []byte) (int, error) {
	started := time.Now()
	for sent, slices := 0, 0; sent < len(data); slices++ {
		n, err := c.Conn.Write(data[sent:min(sent+sliceBytes, len(data))])
		sent += n
		if err != nil {
			return sent, err
		}
		time.Sleep(time.Until(started.Add(time.Duration(slices+1) * c.pause)))
	}
	return len(data), nil
}

// memory returns the resident memory of the process in MB.
func (n *front) memory() int64 {
	n.mu.Lock()
	id := n.command.Process.Pid
	n.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kB, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kB >> 10
		}
	}
	return 0
}
