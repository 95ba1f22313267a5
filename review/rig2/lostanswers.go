//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// The disturbance is within the largest dose of the site: share 0.6, x 0.4, 4 s.
const (
	lostFor    = 4 * time.Second
	lostShare  = 0.4 // of the answers of the affected engines
	lostAt     = 4   // engines of lostOf
	lostOf     = 7
	lostPlayed = 60 * time.Second
	workTime   = 30 * time.Millisecond
)

// tally counts the requests of a kind that were sent from some time on.
type tally struct {
	mu           sync.Mutex
	sent, served int
	statuses     map[int]int
}

func (t *tally) add(o result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.statuses[o.status]++
	if o.status == 200 && o.whole {
		t.served++
	}
}

func (t *tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// lostAnswers has some engines lose a few answers for a while. All engines write answers without a length.
func lostAnswers(r *rig) {
	var loses sync.Map // *engine to true
	var runs sync.Mutex
	for range lostOf {
		r.newEngine("booking", func(e *engine, c net.Conn, q request) bool {
			r.ran(q, e)
			time.Sleep(workTime)
			runs.Lock()
			_, affected := loses.Load(e)
			lost := affected && rand.Float64() < lostShare
			runs.Unlock()
			if lost {
				r.note("engine loses the answer to %s", q.id)
				return lose(c)
			}
			return e.unframed(c, q)
		})
	}
	r.store.put("config", "main", manifest(1, []map[string]any{
		route("avail", "/avail/", "safe", "booking", 800, 2), route("deposit", "/deposit/", "unsafe", "booking", 800, 1),
	}, "booking"))
	r.newProcess(1)
	r.newProcess(2)
	r.awaitReady()
	time.Sleep(stableWindow)

	avail, deposit := &tally{statuses: map[int]int{}}, &tally{statuses: map[int]int{}}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	ask := func(t *tally, n int, method, target string, body func() []byte, every time.Duration) {
		clients.Go(func() {
			c := r.newClient()
			for i := n; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(every/2 + rand.N(every)):
				}
				t.add(c.send(r.procs[i%len(r.procs)], method, target, body(), 1500*time.Millisecond))
			}
		})
	}
	for n := range 6 {
		ask(avail, n, "GET", "/avail/today", func() []byte { return nil }, 100*time.Millisecond)
		ask(deposit, n, "POST", "/deposit/new", func() []byte { return []byte(fmt.Sprint(rand.Uint64())) }, 60*time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	if r.trouble {
		r.note("disturbance begins: %d of %d engines lose %v of their answers", lostAt, lostOf, lostShare)
		for _, e := range r.engines[:lostAt] {
			loses.Store(e, true)
		}
		time.Sleep(lostFor)
		loses.Clear()
		r.note("disturbance ends")
	} else {
		time.Sleep(lostFor)
	}
	time.Sleep(lostPlayed - lostFor - 4*time.Second)
	close(stop)
	clients.Wait()
	all := float64(avail.served+deposit.served) / float64(max(avail.sent+deposit.sent, 1))
	r.verdict(avail.share() < all/4, "avail %d of %d served %v, deposit %d of %d served %v; avail %.3f, all %.3f",
		avail.served, avail.sent, avail.statuses, deposit.served, deposit.sent, deposit.statuses, avail.share(), all)
}
