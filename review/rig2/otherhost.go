//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	rareEvery    = 3 * time.Second // between two sound requests at the other host
	deadlyEvery  = 400 * time.Millisecond
	deadlyCount  = 6
	rareEngines  = 6 // of each service
	rarePlayed   = 70 * time.Second
	commonClient = 4
)

// otherHostRefused sends a request that crashes engines at one host, a few times. A rare sound request at another host, which leads to another
// service, has the same method and path.
func otherHostRefused(r *rig) {
	for n := range 2 * rareEngines {
		service := "booking"
		if n >= rareEngines {
			service = "desk"
		}
		r.newEngine(service, func(e *engine, c net.Conn, q request) bool {
			r.ran(q, e)
			if e.service == "booking" && q.method == "GET" && r.trouble {
				e.crash(false, hostsDown)
				return false
			}
			time.Sleep(workTime)
			return e.framed(c, q)
		})
	}
	rare, common := route("rare", "/avail/", "safe", "desk", 800, 2), route("common", "/common/", "safe", "desk", 800, 2)
	rare["host"], common["host"] = otherHost, otherHost
	r.store.put("config", "main", manifest(1, []map[string]any{
		route("avail", "/avail/", "unsafe", "booking", 800, 1), route("deposit", "/deposit/", "unsafe", "booking", 800, 1), rare, common,
	}, "booking", "desk"))
	r.newProcess(1)
	r.newProcess(2)
	r.awaitReady()
	time.Sleep(stableWindow)

	lookups, others := &tally{statuses: map[int]int{}}, &tally{statuses: map[int]int{}} // others at both hosts
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range commonClient {
		clients.Go(func() {
			c := r.newClient()
			for i := n; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(100*time.Millisecond + rand.N(100*time.Millisecond)):
				}
				p := r.procs[i%len(r.procs)]
				others.add(c.sendTo(p, otherHost, "GET", fmt.Sprintf("/common/%d", i), nil, 1500*time.Millisecond))
				others.add(c.send(p, "POST", "/deposit/new", []byte(fmt.Sprint(rand.Uint64())), 1500*time.Millisecond))
			}
		})
	}
	clients.Go(func() {
		c := r.newClient()
		for i := 0; ; i++ {
			lookups.add(c.sendTo(r.procs[i%len(r.procs)], otherHost, "GET", "/avail/today", nil, 1500*time.Millisecond))
			select {
			case <-stop:
				return
			case <-time.After(rareEvery):
			}
		}
	})
	time.Sleep(500 * time.Millisecond)
	deadly := r.newClient()
	for i := range deadlyCount {
		deadly.send(r.procs[i%len(r.procs)], "GET", "/avail/today", nil, 1500*time.Millisecond)
		time.Sleep(deadlyEvery)
	}
	time.Sleep(rarePlayed - deadlyCount*deadlyEvery)
	close(stop)
	clients.Wait()
	all := float64(lookups.served+others.served) / float64(max(lookups.sent+others.sent, 1))
	r.verdict(lookups.share() < all/4, "rare lookups %d of %d served %v, others %d of %d served %v; rare %.3f, all %.3f",
		lookups.served, lookups.sent, lookups.statuses, others.served, others.sent, others.statuses, lookups.share(), all)
}
