//go:build review

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["11"] = joined }

const (
	chatBudget = 10 * time.Second
	// streamsOpen is the number of streams at the process that is killed, which come within 2 s.
	streamsOpen = 40
	// restartDelay is after which the killed process starts again, releaseDelay when the release begins after that.
	restartDelay = 500 * time.Millisecond
	releaseDelay = 1000 * time.Millisecond
	releaseGap   = 750 * time.Millisecond
	// takeUpAfter and takeUpSpread are the time from the break of a channel until its caller takes its stream up.
	takeUpAfter, takeUpSpread = 4 * time.Second, time.Second
	// allowedJoined is that of the rule.
	allowedJoined = 2
)

// stream is what a caller has got of a stream, over its tries.
type stream struct {
	first    string // id of the attempt that brought the first event
	versions map[string]int
	last     string
	complete bool
}

// joined kills a process just before the engines get another software version, and has its callers take up their streams.
func joined(r *rig) error {
	m := manifest(7, route("chat", "/chat/", "streaming", modelService, map[string]any{
		"timeout_ms": 10000, "target_latency_ms": 400, "priority": 0, "resumable": true, "gap_aim_ms": 150,
	}))
	m["services"] = []any{modelServiceOf()}
	r.store.put("config", "main", m)
	var decoding []*model
	for i := range 18 {
		stage := "prefill"
		if i%2 == 0 {
			stage = "decode"
		}
		e, err := r.newModel("i-"+strings.ToLower(newID()[:10]), zoneNames[i/2%3], stage, "v1")
		if err != nil {
			return err
		}
		e.start()
		if stage == "decode" {
			decoding = append(decoding, e)
		}
	}
	if err := r.startAll(7); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	killed := r.entries[rand.IntN(len(r.entries))]
	var running sync.WaitGroup
	streams := make([]*stream, streamsOpen)
	broken := make(chan struct{})
	for i := range streams {
		s := &stream{versions: map[string]int{}}
		streams[i] = s
		running.Go(func() { r.follow(s, killed, broken) })
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	if r.trouble {
		killed.signal(syscall.SIGKILL)
	}
	close(broken)
	time.Sleep(restartDelay)
	if r.trouble {
		if err := r.restart(killed); err != nil {
			return err
		}
	}
	time.Sleep(releaseDelay)
	r.record.log("the release begins")
	for _, old := range decoding[:8] {
		next, err := r.newModel("i-"+strings.ToLower(newID()[:10]), old.zone, "decode", "v2")
		if err != nil {
			return err
		}
		next.start()
		old.drain()
		time.Sleep(releaseGap)
	}
	running.Wait()
	mixed, complete, refused := 0, 0, 0
	for _, s := range streams {
		switch {
		case len(s.versions) > 1:
			mixed++
		case s.complete:
			complete++
		default:
			refused++
		}
	}
	r.record.print("of %d streams whose channels broke, %d went on at the version that began them, %d at another one, %d did not go on",
		streamsOpen, complete, mixed, refused)
	if mixed > allowedJoined {
		return errBroken{fmt.Sprintf("%d streams hold events from engines of two software versions", mixed)}
	}
	return nil
}

// restart starts a process again that was killed, with the settings of a fleet that has started before.
func (r *rig) restart(e *entry) error {
	select {
	case <-e.done:
	case <-time.After(endTime):
		return fmt.Errorf("process %s does not end", e.name)
	}
	if err := e.rewrite(false); err != nil {
		return err
	}
	return e.start()
}

// follow reads a stream at a process until its channel breaks, and takes it up at another one.
func (r *rig) follow(s *stream, at *entry, broken <-chan struct{}) {
	deadline := time.Now().Add(chatBudget)
	s.first = newID()
	r.read(s, s.first, at, deadline, broken)
	if s.complete || s.last == "" {
		return
	}
	time.Sleep(takeUpAfter + rand.N(takeUpSpread))
	for attempt := 0; attempt < 2 && time.Now().Before(deadline) && !s.complete; attempt++ {
		other := r.entries[rand.IntN(len(r.entries))]
		if other == at {
			continue
		}
		r.read(s, newID(), other, deadline, nil)
	}
}

// read sends an attempt and reads its events until the channel breaks. A nil channel is never closed by the caller itself.
func (r *rig) read(s *stream, id string, at *entry, deadline time.Time, broken <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", at.address(), time.Second)
	if err != nil {
		r.record.log("caller of %s: attempt %s: %v", s.first, id, err)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(deadline)
	if broken != nil {
		go func() {
			<-broken
			_ = conn.Close()
		}()
	}
	more := ""
	if s.last != "" {
		more = fmt.Sprintf("Last-Event-Id: %s\r\nResumes: %s\r\n", s.last, s.first)
	}
	_, _ = fmt.Fprintf(conn, "POST /chat/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%sContent-Length: 2\r\n\r\nhi",
		host, id, time.Until(deadline).Milliseconds(), more)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.record.log("caller of %s: attempt %s at %s: %v", s.first, id, at.name, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	r.record.log("caller of %s: attempt %s at %s after event %q gets %d", s.first, id, at.name, s.last, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		return
	}
	lines := bufio.NewScanner(response.Body)
	event := ""
	for lines.Scan() {
		switch key, value, _ := strings.Cut(lines.Text(), ": "); key {
		case "id":
			event = value
		case "data":
			s.versions[value]++
			s.last = event
		}
	}
	s.complete = lines.Err() == nil && s.last == fmt.Sprint(streamEvents)
	r.record.log("caller of %s: attempt %s ends after event %s, events by version %v, %v", s.first, id, s.last, s.versions, lines.Err())
}
