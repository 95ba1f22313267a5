//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["12"] = func(r *rig) error { return deadly(r, 3, false) }
}

const (
	deadlyInterval = 5 * time.Second
	deadlyTime     = 60 * time.Second
	deadlyDeadline = 1500 * time.Millisecond
	// restartTime is after which an engine that has crashed is back.
	restartTime = 2500 * time.Millisecond
	// stableWindow and allowedRetries are those of the rule.
	stableWindow   = 4 * time.Second
	allowedRetries = 3
	soundInterval  = 50 * time.Millisecond
)

// crashOf is a run that crashed its engine.
type crashOf struct {
	at     time.Time
	body   string
	engine string
}

// deadly sends a number of requests again and again, each of which crashes the engine that begins to run it, beside sound ones.
func deadly(r *rig, count int, dark bool) error {
	r.store.put("config", "main", manifest(7, deskRoutes()...))
	var mu sync.Mutex
	var crashed []crashOf
	bodies := make([]string, count)
	for i := range bodies {
		bodies[i] = fmt.Sprintf("stone %d of caller %d", i, i)
	}
	var start func(zone string) error
	start = func(zone string) error {
		var d *desk
		var err error
		d, err = r.newDesk("i-"+strings.ToLower(newID()[:10]), deskService, zone, func(run runOf) bool {
			if !r.trouble || !slices.Contains(bodies, run.body) {
				return false
			}
			mu.Lock()
			crashed = append(crashed, crashOf{run.at, run.body, run.engine})
			mu.Unlock()
			time.AfterFunc(restartTime, func() {
				d.end()
				_ = start(zone)
			})
			return true
		})
		if err != nil {
			return err
		}
		d.goesDark = dark
		d.start()
		return nil
	}
	for _, zone := range zoneNames {
		if err := start(zone); err != nil {
			return err
		}
	}
	if err := r.startAll(7); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var running sync.WaitGroup
	end := time.Now().Add(deadlyTime)
	for i, body := range bodies {
		running.Go(func() {
			time.Sleep(time.Duration(i) * deadlyInterval / time.Duration(count))
			for time.Now().Before(end) {
				id, e := newID(), r.entries[rand.IntN(len(r.entries))]
				r.record.log("client %d: sends request %s, which comes again, to %s", i, id, e.name)
				a := r.call(e.address(), http.MethodPost, "/deposit/1", id, body, deadlyDeadline, nil)
				r.record.log("client %d: request %s gets %d %v", i, id, a.status, a.err)
				time.Sleep(deadlyInterval)
			}
		})
	}
	sound, lost := 0, 0
	for time.Now().Before(end) {
		time.Sleep(soundInterval)
		running.Go(func() {
			id, e := newID(), r.entries[rand.IntN(len(r.entries))]
			r.record.log("client: sends sound request %s to %s", id, e.name)
			a := r.call(e.address(), http.MethodPost, "/deposit/1", id, "sound "+id, deadlyDeadline, nil)
			r.record.log("client: sound request %s gets %d %v", id, a.status, a.err)
			mu.Lock()
			defer mu.Unlock()
			sound++
			if a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
				lost++
			}
		})
	}
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.record.print("%d sound requests were sent, %d of them were lost at engines that crashed; %d engines crashed", sound, lost, len(crashed))
	worst := 0
	for i, body := range bodies {
		var times []time.Time
		for _, c := range crashed {
			if c.body == body {
				times = append(times, c.at)
			}
		}
		late := 0
		for n, at := range times {
			if n >= 3 && at.Sub(times[2]) > stableWindow {
				late++
			}
		}
		worst = max(worst, late)
		r.record.print("request %d crashed %d engines, %d of them in retries later than %v after the third", i, len(times), late, stableWindow)
	}
	if sound-lost < sound*8/10 {
		return fmt.Errorf("%d of %d sound requests were lost", lost, sound)
	}
	if worst > allowedRetries {
		return errBroken{fmt.Sprintf("a request that crashes engines reached them in %d retries later than %v after it had crashed the third",
			worst, stableWindow)}
	}
	return nil
}
