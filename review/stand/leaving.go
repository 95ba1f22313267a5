//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The case "leaving": the store cuts waiting watches off, an engine leaves the registry, and the store goes down.
const (
	// cuts is how often the store cuts waiting watches off, and cutInterval the time between.
	cuts, cutInterval = 2, 100 * time.Millisecond
	// cutToLeave is the time from the cut to the removal of the engine's entry.
	cutToLeave = 700 * time.Millisecond
	// leaveToDown is the time from the removal to the outage of the store.
	leaveToDown = 600 * time.Millisecond
	// storeDown is how long the store is down, as in the site's list.
	storeDown = 4500 * time.Millisecond
	// drainTime is the bound drain_ms.
	drainTime = 2500 * time.Millisecond
	// settle is how long the store is without any disturbance before, longer than the stable window.
	settle = 6 * time.Second
	// leavingSlack is what a request may take from the machine to the engine.
	leavingSlack = 50 * time.Millisecond
)

func leaving(r *rig) (bool, error) {
	r.fleet.zones = "puget-a:puget,willamette-a:willamette"
	var engines []*engine
	for i, zone := range []string{"puget-a", "willamette-a", "puget-a"} {
		e, err := newEngine(r.record, fmt.Sprintf("i-desk%d", i), "desk", zone, r.network.address()+":8080", 6, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
		r.store.put("servers", e.id, e.entry("ready"))
	}
	r.store.put("config", "main", manifestOf(1, []string{"desk"}, routeOf("avail", host, "/avail/", "safe", "desk", 2, 6000)))
	var fronts []*front
	for _, zone := range []string{"puget", "willamette"} { // the first machine of each region reads the store
		n, err := r.fleet.add("front-"+zone+"-a-1", zone+"-a", zone, true)
		if err != nil {
			return false, err
		}
		if err := n.start(); err != nil {
			return false, err
		}
		fronts = append(fronts, n)
	}
	for _, n := range fronts {
		if !await(15*time.Second, n.isReady) {
			return false, fmt.Errorf("%w: %s does not get ready", errNotRun, n.name)
		}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, n := range fronts {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
					clients.Go(func() { call(r.record, n, host, http.MethodGet, "/avail/1", nil, 6*time.Second) })
				}
			}
		})
	}
	time.Sleep(settle)
	gone := engines[0]
	if r.trouble {
		for range cuts {
			r.say("the store cuts %d waiting watches off", r.store.cutWatches())
			time.Sleep(cutInterval)
		}
	}
	time.Sleep(cutToLeave)
	r.store.remove("servers", gone.id)
	r.say("the entry of %s is removed; it serves on", gone.id)
	await(leaveToDown, func() bool { return r.store.told("servers", gone.id) >= len(fronts) })
	acknowledged := time.Now()
	told := r.store.told("servers", gone.id)
	r.say("%d of %d machines have read that %s is gone", told, len(fronts), gone.id)
	if told < len(fronts) {
		return false, fmt.Errorf("%w: the machines did not read the change in time", errNotRun)
	}
	time.Sleep(leaveToDown)
	if r.trouble {
		r.say("the store is down")
		r.store.setDown(true)
	}
	time.Sleep(storeDown)
	r.store.setDown(false)
	r.say("the store is up")
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	late := 0
	var last time.Duration
	for _, x := range gone.all() {
		if after := x.at.Sub(acknowledged); after > drainTime+leavingSlack {
			late++
			last = max(last, after)
		}
	}
	r.say("%s began %d requests later than %v after all machines had read that it is gone, the last one %v after", gone.id, late, drainTime, last.Round(time.Millisecond))
	return late > 0, nil
}
