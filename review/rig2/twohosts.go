//go:build review

package main

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	otherHost     = "desk.example"
	hostsDown     = 3 * time.Second // an engine that crashed is away
	hostsEvery    = 2 * time.Second // between two attempts of the deadly request
	hostsPlayed   = 60 * time.Second
	hostsEngines  = 3
	hostsSoundFor = 100 * time.Millisecond // between two sound requests of a client
)

// twoHosts sends a request again and again that crashes each engine of its service. Another service gets sound requests with the same
// method and path at another host.
func twoHosts(r *rig) {
	var mu sync.Mutex
	var crashes []time.Time
	reached := 0 // by the deadly request, later than stableWindow after the third crash
	for n := range 2 * hostsEngines {
		service := "booking"
		if n >= hostsEngines {
			service = "desk"
		}
		r.newEngine(service, func(e *engine, c net.Conn, q request) bool {
			r.ran(q, e)
			if e.service == "booking" {
				mu.Lock()
				if len(crashes) >= 3 && time.Since(crashes[2]) > stableWindow {
					reached++
					r.note("the deadly request %s reaches an engine %.1f s after the third crash", q.id, time.Since(crashes[2]).Seconds())
				}
				if r.trouble {
					crashes = append(crashes, time.Now())
				}
				mu.Unlock()
				if r.trouble {
					e.crash(false, hostsDown)
					return false
				}
			}
			time.Sleep(workTime)
			return e.framed(c, q)
		})
	}
	desk := route("desk", "/avail/", "safe", "desk", 800, 2)
	desk["host"] = otherHost
	r.store.put("config", "main", manifest(1, []map[string]any{route("avail", "/avail/", "safe", "booking", 800, 2), desk}, "booking", "desk"))
	r.newProcess(1)
	r.newProcess(2)
	r.awaitReady()
	time.Sleep(stableWindow)

	sound := &tally{statuses: map[int]int{}}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 4 {
		clients.Go(func() {
			c := r.newClient()
			for i := n; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(hostsSoundFor/2 + rand.N(hostsSoundFor)):
				}
				sound.add(c.sendTo(r.procs[i%len(r.procs)], otherHost, "GET", "/avail/today", nil, 1500*time.Millisecond))
			}
		})
	}
	clients.Go(func() {
		c := r.newClient()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(hostsEvery):
			}
			c.send(r.procs[i%len(r.procs)], "GET", "/avail/today", nil, 1500*time.Millisecond)
		}
	})
	time.Sleep(hostsPlayed)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.verdict(reached > maxRetries, "%d crashes; the deadly request reached engines %d times later than %v after the third, at most %d may; the other host %v",
		len(crashes), reached, stableWindow, maxRetries, sound.statuses)
}
