//go:build review

// Command rig2 plays the scripts of the second review: the program's own processes with stand-ins of the platform's store, engines and
// clients, all on loopback addresses.
package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	zone, region = "zone-a", "region-a"
	host         = "shop.example"
	readyWithin  = 15 * time.Second
	stableWindow = 4 * time.Second
	// longestPlay bounds a play. One that takes longer could not run.
	longestPlay = 115 * time.Second
)

// cases holds the plays by name.
var cases = map[string]func(r *rig){
	"lost-answers": lostAnswers, "two-hosts": twoHosts, "dark-crash": darkCrash, "other-host": otherHostRefused, "diluted-crash": dilutedCrash,
}

// rig is one play of a case.
type rig struct {
	start   time.Time
	trouble bool
	record  *bufio.Writer
	recMu   sync.Mutex
	dir     string
	store   *store
	address string // of the store
	engines []*engine
	procs   []*process
	ended   atomic.Bool
	nextID  atomic.Int64
}

// process is one of the program's own processes.
type process struct {
	rig            *rig
	name, ip       string
	front, readyAt string
	settings       string
	command        *exec.Cmd
	exited         chan struct{}
	expectedToEnd  atomic.Bool
}

func newRig(folder string) *rig {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &rig{
		start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", record: bufio.NewWriter(file), dir: dir, store: newStore(),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.fail("store cannot listen: %v", err)
	}
	r.address = l.Addr().String()
	go func() { _ = http.Serve(l, r.store) }()
	return r
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.recMu.Lock()
	defer r.recMu.Unlock()
	fmt.Fprintf(r.record, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.record, format, args...)
	_ = r.record.WriteByte('\n')
}

// fail ends the play as one that could not run.
func (r *rig) fail(format string, args ...any) {
	r.note("could not run: "+format, args...)
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	r.end(2)
}

// end ends all processes and the play.
func (r *rig) end(code int) {
	if r.ended.Swap(true) {
		select {} // another goroutine ends it
	}
	for _, p := range r.procs {
		p.expectedToEnd.Store(true)
		if p.command != nil && p.command.Process != nil {
			_ = p.command.Process.Kill()
			<-p.exited
		}
	}
	r.recMu.Lock()
	_ = r.record.Flush()
	r.recMu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", r.dir)
	}
	os.Exit(code)
}

// verdict ends the play with the outcome of the check.
func (r *rig) verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	word, code := "held", 0
	if broken {
		word, code = "BROKEN", 1
	}
	r.note("%s: %s", word, text)
	fmt.Printf("%s: %s\n", word, text)
	r.end(code)
}

// loopback returns an address of this play. Channels that are opened come from 127.0.0.1, so that none takes a port of an address that
// is to be used again.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 60+pid%150, pid/150%250, n)
}

// newEngine starts an engine of a service at an address of its own.
func (r *rig) newEngine(service string, answer func(e *engine, c net.Conn, q request) bool) *engine {
	e := &engine{rig: r, service: service, address: loopback(100+len(r.engines)) + ":0", number: len(r.engines), slots: 6, answer: answer}
	r.engines = append(r.engines, e)
	e.start()
	return e
}

// freePort returns a port that is free on an address.
func (r *rig) freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		r.fail("no free port: %v", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// newProcess writes the settings of a process and starts it with the command of the deploy file.
func (r *rig) newProcess(n int) *process {
	d, err := readDeploy("deploy/system.toml")
	if err != nil {
		r.fail("%v", err)
	}
	template, err := os.ReadFile(d.template)
	if err != nil {
		r.fail("%v", err)
	}
	p := &process{rig: r, name: fmt.Sprintf("front-a-%d", n), ip: loopback(10 + n)}
	p.front = fmt.Sprintf("%s:%d", p.ip, r.freePort(p.ip))
	p.readyAt = fmt.Sprintf("%s:%d", p.ip, r.freePort(p.ip))
	peer := r.freePort(p.ip)
	fields := map[string]any{
		"node_name": p.name, "zone": zone, "region": region, "ip": p.ip, "bootstrap": true, "heartbeat_ms": 1200,
		"internal_port_range": []int{peer, peer + 15}, "zones": []entry{{zone, region}},
		"listen":   map[string]any{"front": p.front, "ready_address": p.readyAt},
		"limits":   map[string]any{"memory_mb": 284, "max_fds": 4200},
		"platform": map[string]any{"address": r.address},
		"bounds": map[string]any{
			"grace_s": 8, "retry_budget_ratio": 0.2, "retry_window_s": 10, "budget_slack": 54, "config_apply_ms": 2500, "drain_ms": 2500,
			"lease_ms": 3000, "require_fencing": true,
		},
	}
	filled, err := fill(string(template), fields)
	if err != nil {
		r.fail("%v", err)
	}
	p.settings = filepath.Join(r.dir, p.name+".ini")
	if err := os.WriteFile(p.settings, []byte(filled), 0o600); err != nil {
		r.fail("%v", err)
	}
	words := strings.Fields(strings.ReplaceAll(d.run, "/etc/buckthorntrack/node.toml", p.settings))
	p.command = exec.Command(words[0], words[1:]...)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "BUCKTHORNTRACK_NODE_FILE=" + p.settings}
	for name, text := range d.env {
		value, err := fill(text, fields)
		if err != nil {
			r.fail("%v", err)
		}
		p.command.Env = append(p.command.Env, name+"="+value)
	}
	log, err := os.Create(filepath.Join(r.dir, p.name+".log"))
	if err != nil {
		r.fail("%v", err)
	}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		r.fail("%v", err)
	}
	p.exited = make(chan struct{})
	r.procs = append(r.procs, p)
	r.note("process %s starts at %s", p.name, p.front)
	go func() {
		err := p.command.Wait()
		close(p.exited)
		if !p.expectedToEnd.Load() {
			r.fail("process %s ended by itself: %v", p.name, err)
		}
	}()
	return p
}

// awaitReady waits until all processes answer 200 to the platform.
func (r *rig) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for _, p := range r.procs {
		for deadline := time.Now().Add(readyWithin); ; time.Sleep(100 * time.Millisecond) {
			answer, err := client.Get("http://" + p.readyAt + "/v1/ready")
			if err == nil {
				_ = answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				r.fail("process %s is not ready", p.name)
			}
		}
	}
	client.CloseIdleConnections()
	r.note("all processes are ready")
}

// ran records a run.
func (r *rig) ran(q request, e *engine) {
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	r.note("engine %s runs %s %s %s", id, q.id, q.method, q.target)
}

// result is what a client saw of one attempt.
type result struct {
	id         string
	status     int // zero without an answer
	whole      bool
	retryAfter string
}

// client sends one request after the other over a kept channel.
type client struct {
	rig  *rig
	http *http.Client
}

func (r *rig) newClient() *client {
	return &client{rig: r, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// send sends one attempt to the usual host with an id of its own and waits for its end.
func (c *client) send(p *process, method, target string, body []byte, budget time.Duration) result {
	return c.sendTo(p, host, method, target, body, budget)
}

// sendTo does the same with a host.
func (c *client) sendTo(p *process, host, method, target string, body []byte, budget time.Duration) result {
	r := c.rig
	o := result{id: fmt.Sprintf("%016x", r.nextID.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), budget+500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.front+target, bytes.NewReader(body))
	if err != nil {
		r.fail("%v", err)
	}
	request.GetBody = nil
	request.Host = host
	request.Header.Set("X-Request-Id", o.id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	r.note("client sends %s %s %s%s to %s", o.id, method, host, target, p.name)
	answer, err := c.http.Do(request)
	if err == nil {
		o.status, o.retryAfter = answer.StatusCode, answer.Header.Get("Retry-After")
		data, readErr := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		o.whole, err = readErr == nil && (o.status != http.StatusOK || string(data) == wholeBody(o.id, target)), readErr
	}
	r.note("client got %d for %s, whole %v, Retry-After %q, error %v", o.status, o.id, o.whole, o.retryAfter, err)
	return o
}

// manifest is the configuration of the deployment.
func manifest(version int, routes []map[string]any, services ...string) map[string]any {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func route(name, prefix, kind, service string, timeoutMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": 250, "priority": 2,
		"service": service, "max_attempts": attempts, "sticky_sessions": false, "resumable": false,
	}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		os.Exit(2)
	}
	runtime.LockOSThread() // the processes end with the thread that started them
	r := newRig(os.Args[2])
	time.AfterFunc(longestPlay, func() { r.fail("the play takes longer than %v", longestPlay) })
	cases[os.Args[1]](r)
}
