//go:build review

package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

// The case "replaced": machines are removed for good, one after the other, and new ones come at other addresses. Then all
// processes are killed at the same moment and start again.
const (
	replacedZone   = "willamette-a"
	replacedRegion = "willamette"
	replacedLive   = 3  // machines at a time, as in this zone of the site
	replacedCount  = 30 // machines that are replaced in the course of time
	replacedReady  = 2 * time.Second
	// recovery is the bound recovery_s.
	recovery = 12 * time.Second
	// replacedAfter is how long requests are judged after it.
	replacedAfter = 12 * time.Second
	// replacedBefore is how long requests are judged before the final fault.
	replacedBefore = 5 * time.Second
	// replacedDown is how long the processes are down.
	replacedDown = 650 * time.Millisecond
	host         = "ficu95.example"
)

func replaced(r *rig) (bool, error) {
	if err := r.plainDeployment(replacedZone, replacedRegion, 3, plainWork); err != nil {
		return false, err
	}
	platform := newBalancer(r.record)
	defer platform.end()
	var live []*front
	number := 0
	boot := func(first bool) error {
		number++
		n, err := r.fleet.add(fmt.Sprintf("front-%s-%d", replacedZone, number), replacedZone, replacedRegion, first)
		if err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
		platform.add(n)
		live = append(live, n)
		return nil
	}
	for range replacedLive {
		if err := boot(true); err != nil {
			return false, err
		}
	}
	if !await(15*time.Second, func() bool { return platform.inRotation() == replacedLive }) {
		return false, fmt.Errorf("%w: machines do not get ready", errNotRun)
	}
	clients := &traffic{record: r.record, balancer: platform, host: host, budget: 6 * time.Second, every: 50 * time.Millisecond}
	clients.start()
	for range replacedCount {
		old := live[0]
		live = live[1:]
		r.printf("%s is removed for good", old.name)
		platform.remove(old)
		if r.trouble {
			old.signal(syscall.SIGSTOP) // no power: it answers nothing and resets nothing
		} else {
			old.signal(syscall.SIGTERM)
		}
		if err := boot(false); err != nil {
			return false, err
		}
		newest := live[len(live)-1]
		await(replacedReady, newest.isReady)
	}
	r.say("%d machines were replaced, %d registrations of the system in the store", replacedCount, len(r.store.names("processes")))
	await(20*time.Second, func() bool { return platform.inRotation() == replacedLive })
	r.say("%d of %d machines in rotation", platform.inRotation(), replacedLive)
	time.Sleep(replacedBefore)
	struck := time.Now()
	r.say("all processes are killed")
	for _, n := range live {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range live {
		n.await(processStartLimit)
	}
	time.Sleep(replacedDown)
	for _, n := range live {
		if err := n.start(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	r.say("all machines are back")
	judged := back.Add(recovery)
	for time.Until(judged.Add(replacedAfter)) > 0 {
		time.Sleep(500 * time.Millisecond)
		if platform.inRotation() > 0 && !slices.ContainsFunc(live, func(n *front) bool { return !n.isReady() }) && time.Since(back) < recovery {
			r.printf("all machines are ready %d ms after they were back", time.Since(back).Milliseconds())
		}
	}
	clients.end()
	sent, served := clients.share(struck.Add(-replacedBefore), struck)
	r.say("before the final fault: %d requests, %d served", sent, served)
	if 4*served < sent || sent == 0 {
		return false, fmt.Errorf("%w: too few requests were served before the final fault", errNotRun)
	}
	sent, served = clients.share(judged, judged.Add(replacedAfter))
	r.say("later than %v after the machines were back: %d requests, %d served", recovery, sent, served)
	return 4*served < sent, nil
}

// await waits until the condition holds, and reports whether it did within the limit.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
