//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Each of the two disturbances is within the largest dose of the site: share 0.6, x 0.4, 4 s.
const (
	dilutedEngines = 18
	dilutedAt      = 10 // engines that lose answers: the first ones, and later the last ones
	dilutedLost    = 0.4
	dilutedLossFor = 4 * time.Second // from the first crash on, and from the second one on
	dilutedDown    = 3 * time.Second // an engine that crashed is away
	dilutedEvery   = 5 * time.Second // between two attempts of the deadly request
	dilutedPlayed  = 65 * time.Second
)

// dilutedCrash sends a request again and again that crashes each engine that begins to run it, while other engines lose answers.
func dilutedCrash(r *rig) {
	deadly := []byte("a deposit that no engine survives")
	var mu sync.Mutex
	var crashes []time.Time
	reached := 0
	affects := func(e *engine, disturbance int) bool {
		return disturbance == 1 && e.number < dilutedAt || disturbance == 2 && e.number >= dilutedEngines-dilutedAt
	}
	disturbance := 0 // number of the last one
	var losesUntil time.Time
	for range dilutedEngines {
		r.newEngine("booking", func(e *engine, c net.Conn, q request) bool {
			r.ran(q, e)
			if bytes.Equal(q.body, deadly) {
				mu.Lock()
				if len(crashes) >= 3 && time.Since(crashes[2]) > stableWindow {
					reached++
					r.note("the deadly request %s reaches an engine %.1f s after the third crash", q.id, time.Since(crashes[2]).Seconds())
				}
				if len(crashes) < 2 && r.trouble {
					disturbance = len(crashes) + 1
					losesUntil = time.Now().Add(dilutedLossFor)
					r.note("%d engines lose %v of their answers for %v", dilutedAt, dilutedLost, dilutedLossFor)
				}
				crashes = append(crashes, time.Now())
				mu.Unlock()
				e.crash(false, dilutedDown)
				return false
			}
			time.Sleep(workTime)
			mu.Lock()
			lost := affects(e, disturbance) && time.Now().Before(losesUntil) && rand.Float64() < dilutedLost
			mu.Unlock()
			if lost {
				r.note("engine loses the answer to %s", q.id)
				return lose(c)
			}
			return e.framed(c, q)
		})
	}
	r.store.put("config", "main", manifest(1, []map[string]any{route("deposit", "/deposit/", "unsafe", "booking", 800, 1)}, "booking"))
	r.newProcess(1)
	r.newProcess(2)
	r.awaitReady()
	time.Sleep(stableWindow)

	all := &tally{statuses: map[int]int{}}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 8 {
		clients.Go(func() {
			c := r.newClient()
			for i := n; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(30*time.Millisecond + rand.N(60*time.Millisecond)):
				}
				all.add(c.send(r.procs[i%len(r.procs)], "POST", "/deposit/new", []byte(fmt.Sprint(rand.Uint64())), 1500*time.Millisecond))
			}
		})
	}
	clients.Go(func() {
		c := r.newClient()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(dilutedEvery):
			}
			c.send(r.procs[i%len(r.procs)], "POST", "/deposit/new", deadly, 1500*time.Millisecond)
		}
	})
	time.Sleep(dilutedPlayed)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.verdict(reached > maxRetries, "%d crashes; the deadly request reached engines %d times later than %v after the third, at most %d may; others %v",
		len(crashes), reached, stableWindow, maxRetries, all.statuses)
}
