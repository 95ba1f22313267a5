//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// The case "idle": clients open a channel, send one request and stay idle, longer than the manifest's idle_timeout_ms.
const (
	// idleRate is the number of requests a second: the site's 348 over its 8 machines.
	idleRate = 44
	// idleTime is how long the clients come.
	idleTime = 100 * time.Second
	// stableWindow is the bound stable_window_ms.
	stableWindow = 4 * time.Second
	// tryTime is how long new clients try at the end, longer than the stable window.
	tryTime = 6 * time.Second
	// tryClients is the number of clients that try at any time.
	tryClients = 10
	// tryMinimum is the number of clients from which the rule holds.
	tryMinimum = 7
)

func idle(r *rig) (bool, error) {
	if err := r.plainDeployment("willamette-a", "willamette", 3, plainWork); err != nil {
		return false, err
	}
	n, err := r.fleet.add("front-willamette-a-1", "willamette-a", "willamette", true)
	if err != nil {
		return false, err
	}
	if err := n.start(); err != nil {
		return false, err
	}
	if !await(15*time.Second, n.isReady) {
		return false, fmt.Errorf("%w: the machine does not get ready", errNotRun)
	}
	var mu sync.Mutex
	var kept []net.Conn
	defer func() {
		for _, c := range kept {
			_ = c.Close()
		}
	}()
	served, refused, failed := 0, 0, 0
	var clients sync.WaitGroup
	ticker := time.NewTicker(time.Second / idleRate)
	defer ticker.Stop()
	r.say("%d clients a second open a channel and send one request", idleRate)
	missed := 0
	for until := time.Now().Add(idleTime); time.Now().Before(until) && missed < idleRate; {
		<-ticker.C
		clients.Go(func() {
			a := attempt{id: newID(), line: "GET /avail/1", machine: n.name, sent: time.Now()}
			conn, err := net.DialTimeout("tcp", n.ip+":"+portFront, connectLimit)
			if err == nil {
				exchange(conn, &a, host, http.MethodGet, "/avail/1", nil, connectLimit, false)
			} else {
				a.err = err
			}
			r.printf("client: %s %s status %d after %d ms %v", a.id, a.line, a.status, time.Since(a.sent).Milliseconds(), a.err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.served():
				served++
				missed = 0
			case a.status != 0:
				refused++
			default:
				failed++
				missed++
			}
			if conn == nil {
				return
			}
			if r.trouble && a.status != 0 {
				kept = append(kept, conn)
			} else {
				_ = conn.Close()
			}
		})
	}
	clients.Wait()
	mu.Lock()
	r.say("%d served, %d refused, %d without an answer; %d channels are open and idle", served, refused, failed, len(kept))
	mu.Unlock()
	if served < 3000 {
		return false, fmt.Errorf("%w: too few requests were served", errNotRun)
	}
	return r.tryChannels(n)
}

// tryChannels lets clients try new channels for a time, and reports whether the machine was ready and took none.
func (r *rig) tryChannels(n *front) (bool, error) {
	var mu sync.Mutex
	tried, taken, asked, ready := 0, 0, 0, 0
	var clients sync.WaitGroup
	until := time.Now().Add(tryTime)
	for range tryClients {
		clients.Go(func() {
			for time.Now().Before(until) {
				a := call(r.record, n, host, http.MethodGet, "/avail/1", nil, connectLimit)
				mu.Lock()
				tried++
				if a.status != 0 {
					taken++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Go(func() {
		for time.Now().Before(until) {
			is := n.isReady()
			mu.Lock()
			asked++
			if is {
				ready++
			}
			mu.Unlock()
			time.Sleep(500 * time.Millisecond)
		}
	})
	clients.Wait()
	r.say("%d clients tried %d new channels for %v, %d were answered; the machine said %d of %d times that it is ready",
		tryClients, tried, tryTime, taken, ready, asked)
	return tryClients >= tryMinimum && tryTime > stableWindow && taken == 0 && ready == asked, nil
}
