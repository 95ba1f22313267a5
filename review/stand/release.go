//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case "release": machines of all zones are removed for good, one after the other, and new ones come. Then the engines of the
// service are replaced by ones of newer software, and all processes are killed and start again.
const (
	// releaseEngines are replaced in releases of releaseShare engines, a third, as the site's releases are at most about a half.
	releaseEngines = 6
	releaseShare   = 2
	releaseGap     = time.Second
	releasePause   = 2 * time.Second // between two releases
	releaseBefore  = 6 * time.Second
	releaseAfter   = 10 * time.Second
	releaseEvery   = 80 * time.Millisecond
	releaseBudget  = 6 * time.Second
)

// releaseZones are the zones of the site, with its machines and the number of machines that are replaced.
var releaseZones = []struct {
	name, region    string
	machines, count int
}{
	{"puget-a", "puget", 3, 4},
	{"willamette-a", "willamette", 3, 4},
	{"inland-a", "inland", 2, 3},
}

func release(r *rig) (bool, error) {
	const service = "advisor"
	var zones []string
	for _, z := range releaseZones {
		zones = append(zones, z.name+":"+z.region)
	}
	r.fleet.zones = strings.Join(zones, ",")
	var old []*model
	for i := range releaseEngines {
		m, err := newModel(r, fmt.Sprintf("i-old%d", i), service, releaseZones[i%3].name, "v1", []string{"prefill", "decode"}[i%2])
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
	live := map[string][]*front{} // by zone, the oldest first
	numbers := map[string]int{}
	boot := func(zone, region string, first bool) error {
		numbers[zone]++
		n, err := r.fleet.add(fmt.Sprintf("front-%s-%d", zone, numbers[zone]), zone, region, first)
		if err != nil {
			return err
		}
		platform.add(n)
		live[zone] = append(live[zone], n)
		return n.start()
	}
	total := 0
	for _, z := range releaseZones {
		for range z.machines {
			total++
			if err := boot(z.name, z.region, true); err != nil {
				return false, err
			}
		}
	}
	allIn := func() bool { return platform.inRotation() == total }
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
	time.Sleep(time.Second)
	replacedSoFar := 0
	for _, z := range releaseZones {
		for range z.count {
			lost := live[z.name][0]
			live[z.name] = live[z.name][1:]
			platform.remove(lost)
			if r.trouble {
				r.printf("%s is removed for good, without SIGTERM", lost.name)
				lost.signal(syscall.SIGSTOP) // no power: it answers nothing and resets nothing
			} else {
				r.printf("%s is removed for good, with SIGTERM", lost.name)
				lost.signal(syscall.SIGTERM)
			}
			replacedSoFar++
			if err := boot(z.name, z.region, false); err != nil {
				return false, err
			}
			if !await(20*time.Second, allIn) {
				return false, fmt.Errorf("%w: the new machine does not get ready", errNotRun)
			}
		}
	}
	r.say("%d machines were replaced, %d registrations of the system in the store", replacedSoFar, len(r.store.names("processes")))
	time.Sleep(releaseBefore)
	r.say("the engines are replaced in %d releases", releaseEngines/releaseShare)
	for i, m := range old {
		if i > 0 && i%releaseShare == 0 {
			time.Sleep(releasePause)
		}
		if _, err := newModel(r, fmt.Sprintf("i-new%d", i), service, releaseZones[i%3].name, "v2", []string{"prefill", "decode"}[i%2]); err != nil {
			return false, err
		}
		time.Sleep(releaseGap)
		m.leave(drainTime)
	}
	time.Sleep(drainTime)
	struck := time.Now()
	r.say("all processes are killed")
	for _, zone := range live {
		for _, n := range zone {
			n.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(replacedDown)
	for _, zone := range live {
		for _, n := range zone {
			n.await(processStartLimit)
			if err := n.start(); err != nil {
				return false, err
			}
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
