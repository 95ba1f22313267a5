//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["13"] = night }

const (
	planBudget = 10 * time.Second
	planEvents = 5
	// nightTime is the time in which only the requests that crash engines come, soundAfter the number of sound ones before and after it.
	nightTime   = 40 * time.Second
	soundBefore = 30
	soundAfter  = 200
	soundPause  = 50 * time.Millisecond
	// availPause is the time between two requests of the other kind, and starvedShare the share of the rule.
	availPause   = 100 * time.Millisecond
	starvedShare = 0.25
)

// night sends two requests again and again that crash the engines, whose prompts share their first part with sound requests, at a time
// without sound ones.
func night(r *rig) error {
	m := manifest(7, route("dayplan", "/dayplan/", "streaming", modelService, map[string]any{
		"timeout_ms": 10000, "target_latency_ms": 800, "priority": 2, "max_attempts": 1, "sticky_sessions": true, "gap_aim_ms": 150,
	}))
	m["routes"] = append(m["routes"].([]map[string]any), deskRoutes()[1])
	m["services"] = append(m["services"].([]any), modelServiceOf())
	for _, zone := range zoneNames {
		d, err := r.newDesk("i-"+strings.ToLower(newID()[:10]), deskService, zone, nil)
		if err != nil {
			return err
		}
		d.start()
	}
	r.store.put("config", "main", m)
	bodies := []string{"briefing of caller 0", "briefing of caller 1"}
	var mu sync.Mutex
	var crashed []crashOf
	var start func(zone, stage string) error
	start = func(zone, stage string) error {
		e, err := r.newModel("i-"+strings.ToLower(newID()[:10]), zone, stage, "v1")
		if err != nil {
			return err
		}
		e.events = planEvents
		e.crashes = func(id, body string) bool {
			if !r.trouble || !slices.Contains(bodies, body) {
				return false
			}
			mu.Lock()
			crashed = append(crashed, crashOf{time.Now(), body, e.id})
			mu.Unlock()
			time.AfterFunc(restartTime, func() { _ = start(zone, stage) })
			return true
		}
		e.start()
		return nil
	}
	for i := range 18 {
		stage := "prefill"
		if i%2 == 0 {
			stage = "decode"
		}
		if err := start(zoneNames[i/2%3], stage); err != nil {
			return err
		}
	}
	if err := r.startAll(7); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	day, over := context.WithCancel(context.Background())
	defer over()
	avail := r.lookUps(day)
	before := r.plans(soundBefore)
	var running sync.WaitGroup
	end := time.Now().Add(nightTime)
	for i, body := range bodies {
		running.Go(func() {
			time.Sleep(time.Duration(i) * deadlyInterval / time.Duration(len(bodies)))
			for time.Now().Before(end) {
				id, e := newID(), r.entries[rand.IntN(len(r.entries))]
				r.record.log("client %d: sends request %s, which comes again, to %s", i, id, e.name)
				a := r.call(e.address(), http.MethodPost, "/dayplan/1", id, body, planBudget, promptOf(fmt.Sprintf("%x", 16+i)))
				r.record.log("client %d: request %s gets %d %v", i, id, a.status, a.err)
				time.Sleep(deadlyInterval)
			}
		})
	}
	running.Wait()
	time.Sleep(stableWindow)
	after := r.plans(soundAfter)
	mu.Lock()
	defer mu.Unlock()
	over()
	looked, found := avail()
	for i, body := range bodies {
		count := 0
		for _, c := range crashed {
			if c.body == body {
				count++
			}
		}
		r.record.print("request %d crashed %d engines", i, count)
	}
	r.record.print("dayplan: of %d sound requests before the night %d were served, of %d after it %d; avail: %d of %d", soundBefore, before,
		soundAfter, after, found, looked)
	if before < soundBefore*9/10 || found < looked*9/10 {
		return errors.New("too few other requests were served")
	}
	kind := float64(before+after) / (soundBefore + soundAfter)
	all := float64(before+after+found) / float64(soundBefore+soundAfter+looked)
	if kind < starvedShare*all {
		return errBroken{fmt.Sprintf("of the kind dayplan %.2f are served, of all %.2f", kind, all)}
	}
	return nil
}

// lookUps sends requests of the other kind until the context ends. The function returns how many were sent and served.
func (r *rig) lookUps(ctx context.Context) func() (sent, served int) {
	var mu sync.Mutex
	var running sync.WaitGroup
	sent, served := 0, 0
	running.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(availPause)
			running.Go(func() {
				a := r.call(r.entries[rand.IntN(len(r.entries))].address(), http.MethodGet, "/avail/1", newID(), "", 1500*time.Millisecond, nil)
				mu.Lock()
				defer mu.Unlock()
				sent++
				if a.status == http.StatusOK {
					served++
				}
			})
		}
	})
	return func() (int, int) {
		running.Wait()
		return sent, served
	}
}

// promptOf returns the headers of a request whose prompt begins with the part that all requests of the route share.
func promptOf(last string) map[string]string {
	return map[string]string{"X-Model": "m", "X-Token-Counts": "900,45", "X-Prompt-Prefix": "5c1e07a2:800," + last + ":100"}
}

// plans sends sound requests and returns how many were served.
func (r *rig) plans(count int) int {
	var mu sync.Mutex
	var running sync.WaitGroup
	served := 0
	for range count {
		running.Go(func() {
			id, e := newID(), r.entries[rand.IntN(len(r.entries))]
			r.record.log("client: sends sound request %s to %s", id, e.name)
			a := r.call(e.address(), http.MethodPost, "/dayplan/1", id, "sound "+id, planBudget, promptOf(fmt.Sprintf("%x", rand.Uint32())))
			r.record.log("client: sound request %s gets %d %v", id, a.status, a.err)
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK && strings.Count(a.body, "data:") == planEvents {
				served++
			}
		})
		time.Sleep(soundPause)
	}
	running.Wait()
	return served
}
