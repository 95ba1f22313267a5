//go:build review

package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/buckthorntrack/buckthorntrack/digest"
)

// The case "release": two machines are removed for good and new ones come. Then the engines of the service are replaced by ones
// of newer software, and all processes are killed and start again.
const (
	releaseMachines = 4
	releaseLost     = 2
	releaseEngines  = 6
	releaseGap      = time.Second
	releaseBefore   = 10 * time.Second
	releaseAfter    = 10 * time.Second
	releaseEvery    = 80 * time.Millisecond
	releaseBudget   = 6 * time.Second
)

func release(r *rig) (bool, error) {
	const zone, region, service = "willamette-a", "willamette", "advisor"
	r.fleet.zones = zone + ":" + region
	var old []*model
	for i := range releaseEngines {
		m, err := newModel(r, fmt.Sprintf("i-old%d", i), service, zone, "v1", []string{"prefill", "decode"}[i%2])
		if err != nil {
			return false, err
		}
		old = append(old, m)
	}
	manifest := manifestOf(1, []string{service}, routeOf("query", host, "/query/", "streaming", service, 2, 6000))
	manifest["routes"].([]map[string]any)[0]["resumable"] = true
	manifest["routes"].([]map[string]any)[0]["sticky_sessions"] = true
	manifest["routes"].([]map[string]any)[0]["gap_aim_ms"] = 200
	manifest["services"].([]map[string]any)[0]["engine"] = map[string]any{
		"slots": 48, "kv_tokens": 444000, "kv_token_bytes": 131072, "link_mbps": 870000.0, "stride": 14, "most": 12,
		"handle_ttl_s": 5.0, "role_switch_s": modelSwitch.Seconds(), "models": []map[string]any{{"name": "m"}},
	}
	r.store.put("config", "main", manifest)
	platform := newBalancer(r.record)
	defer platform.end()
	var live []*front
	number := 0
	boot := func(first bool) error {
		number++
		n, err := r.fleet.add(fmt.Sprintf("front-%s-%d", zone, number), zone, region, first)
		if err != nil {
			return err
		}
		platform.add(n)
		live = append(live, n)
		return n.start()
	}
	for range releaseMachines {
		if err := boot(true); err != nil {
			return false, err
		}
	}
	allIn := func() bool { return platform.inRotation() == len(live) }
	if !await(15*time.Second, allIn) {
		return false, fmt.Errorf("%w: machines do not get ready", errNotRun)
	}
	var mu sync.Mutex
	var attempts []attempt
	var clients sync.WaitGroup
	stop := make(chan struct{})
	began := time.Now()
	clients.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(releaseEvery):
				clients.Go(func() {
					a := call(r.record, platform.pick(), host, http.MethodPost, "/query/1", []byte("question"), releaseBudget)
					if strings.Count(a.body, "data: ") != modelEvents {
						a.signed = false // not the whole stream
					}
					mu.Lock()
					defer mu.Unlock()
					attempts = append(attempts, a)
				})
			}
		}
	})
	time.Sleep(3 * time.Second)
	slices.SortFunc(live, func(a, b *front) int { return cmp.Compare(digest.Sum64(a.name), digest.Sum64(b.name)) })
	for range releaseLost {
		lost := live[0]
		live = live[1:]
		platform.remove(lost)
		if r.trouble {
			r.say("%s is removed for good, without SIGTERM", lost.name)
			lost.signal(syscall.SIGSTOP)
		} else {
			r.say("%s is removed for good, with SIGTERM", lost.name)
			lost.signal(syscall.SIGTERM)
		}
		if err := boot(false); err != nil {
			return false, err
		}
		if !await(20*time.Second, allIn) {
			return false, fmt.Errorf("%w: the new machine does not get ready", errNotRun)
		}
	}
	time.Sleep(releaseBefore)
	r.say("the engines are replaced, one after the other")
	for i, m := range old {
		if _, err := newModel(r, fmt.Sprintf("i-new%d", i), service, zone, "v2", []string{"prefill", "decode"}[i%2]); err != nil {
			return false, err
		}
		time.Sleep(releaseGap)
		m.leave(drainTime)
	}
	time.Sleep(drainTime)
	struck := time.Now()
	r.say("all processes are killed")
	for _, n := range live {
		n.signal(syscall.SIGKILL)
	}
	time.Sleep(replacedDown)
	for _, n := range live {
		n.await(processStartLimit)
		if err := n.start(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	r.say("all machines are back")
	time.Sleep(recovery + releaseAfter)
	close(stop)
	clients.Wait()
	sent, served := shareOf(attempts, began, struck)
	r.say("before the final fault: %d requests, %d served", sent, served)
	if 4*served < sent || sent == 0 {
		return false, fmt.Errorf("%w: too few requests were served before the final fault", errNotRun)
	}
	r.say("%d machines in rotation", platform.inRotation())
	sent, served = shareOf(attempts, back.Add(recovery), back.Add(recovery+releaseAfter))
	r.say("later than %v after the machines were back: %d requests, %d served", recovery, sent, served)
	return 4*served < sent, nil
}
