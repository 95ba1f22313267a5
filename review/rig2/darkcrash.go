//go:build review

package main

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	darkEngines = 3
	darkFor     = 3 * time.Second // an engine that crashed is away
	darkPlayed  = 60 * time.Second
	darkEvery   = 2 * time.Second // between two attempts of the deadly request
	// maxRetries is the most that may reach engines later than stableWindow after the third crash.
	maxRetries = 3
)

// darkCrash sends a request again and again that crashes each engine that begins to run it: the engine falls silent.
func darkCrash(r *rig) {
	deadly := []byte("a deposit that no engine survives")
	var mu sync.Mutex
	var crashes []time.Time
	reached := 0 // by the deadly request, later than stableWindow after the third crash
	for range darkEngines {
		r.newEngine("booking", func(e *engine, c net.Conn, q request) bool {
			r.ran(q, e)
			if bytes.Equal(q.body, deadly) {
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
					e.crash(true, darkFor)
					return false
				}
			}
			time.Sleep(workTime)
			if e.isDark() {
				return false
			}
			return e.framed(c, q)
		})
	}
	r.store.put("config", "main", manifest(1, []map[string]any{
		route("avail", "/avail/", "safe", "booking", 800, 2), route("deposit", "/deposit/", "unsafe", "booking", 800, 1),
	}, "booking"))
	r.newProcess(1)
	r.newProcess(2)
	r.awaitReady()
	time.Sleep(stableWindow)

	avail := &tally{statuses: map[int]int{}}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 4 {
		clients.Go(func() {
			c := r.newClient()
			for i := n; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(50*time.Millisecond + rand.N(100*time.Millisecond)):
				}
				avail.add(c.send(r.procs[i%len(r.procs)], "GET", "/avail/today", nil, 1500*time.Millisecond))
			}
		})
	}
	clients.Go(func() {
		c := r.newClient()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(darkEvery):
			}
			c.send(r.procs[i%len(r.procs)], "POST", "/deposit/new", deadly, 1500*time.Millisecond)
		}
	})
	time.Sleep(darkPlayed)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.verdict(reached > maxRetries, "%d crashes; the deadly request reached engines %d times later than %v after the third, at most %d may; avail %d of %d served %v",
		len(crashes), reached, stableWindow, maxRetries, avail.served, avail.sent, avail.statuses)
}
