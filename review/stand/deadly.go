//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/buckthorntrack/buckthorntrack/digest"
)

// The case "deadly": a request crashes each engine that runs it and comes again, while two machines have no power.
const (
	deadlyMachines = 20
	deadlyLost     = 2
	deadlyEngines  = 8
	deadlyTime     = 45 * time.Second
	deadlyEvery    = 900 * time.Millisecond
	deadlyDown     = 2 * time.Second
	deadlyAllowed  = 3
)

func deadly(r *rig) (bool, error) {
	const zone, region = "willamette-a", "willamette"
	r.fleet.zones = zone + ":" + region
	var engines []*engine
	for i := range deadlyEngines {
		e, err := newEngine(r.record, fmt.Sprintf("i-desk%d", i), "desk", zone, r.network.address()+":8080", 6, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
		e.store, e.deadly = r.store, "deadly"
		r.store.put("servers", e.id, e.entry("ready"))
	}
	r.store.put("config", "main", manifestOf(1, []string{"desk"},
		routeOf("avail", host, "/avail/", "safe", "desk", 2, 6000), routeOf("deposit", host, "/deposit/", "unsafe", "desk", 1, 6000)))
	var fronts []*front
	for i := range deadlyMachines {
		n, err := r.fleet.add(fmt.Sprintf("front-%s-%d", zone, i+1), zone, region, true)
		if err != nil {
			return false, err
		}
		if err := n.start(); err != nil {
			return false, err
		}
		fronts = append(fronts, n)
	}
	for _, n := range fronts {
		if !await(20*time.Second, n.isReady) {
			return false, fmt.Errorf("%w: %s does not get ready", errNotRun, n.name)
		}
	}
	time.Sleep(2 * time.Second)
	slices.SortFunc(fronts, func(a, b *front) int {
		if digest.Sum64(a.name) < digest.Sum64(b.name) {
			return -1
		}
		return 1
	})
	live := fronts
	if r.trouble {
		for _, n := range fronts[:deadlyLost] {
			r.say("%s is removed for good, without SIGTERM", n.name)
			n.signal(syscall.SIGSTOP)
		}
		live = fronts[deadlyLost:]
	}
	time.Sleep(settle)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var lost atomic.Int64 // deposits of other clients that ended without their answer
	clients.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				clients.Go(func() {
					n := live[rand.IntN(len(live))]
					if a := call(r.record, n, host, http.MethodPost, "/deposit/1", []byte("boat=7"), 2*time.Second); a.status != http.StatusServiceUnavailable && !a.served() {
						lost.Add(1)
					}
				})
			}
		}
	})
	refused := 0
	for until := time.Now().Add(deadlyTime); time.Now().Before(until); time.Sleep(deadlyEvery) {
		a := call(r.record, live[rand.IntN(len(live))], host, http.MethodPost, "/deposit/1", []byte("deadly"), 2*time.Second)
		if a.status == http.StatusServiceUnavailable {
			refused++
		}
	}
	close(stop)
	clients.Wait()
	var crashes []time.Time
	for _, e := range engines {
		e.mu.Lock()
		crashes = append(crashes, e.crashes...)
		e.mu.Unlock()
	}
	slices.SortFunc(crashes, time.Time.Compare)
	if len(crashes) < 3 {
		return false, fmt.Errorf("%w: only %d engines crashed", errNotRun, len(crashes))
	}
	late := 0
	for _, at := range crashes {
		if at.Sub(crashes[2]) > stableWindow {
			late++
		}
	}
	r.say("the request crashed engines %d times, %d of them later than %v after the third; it was refused %d times", len(crashes), late, stableWindow, refused)
	r.say("%d deposits of other clients may have run and ended without their answer", lost.Load())
	return late > deadlyAllowed, nil
}
