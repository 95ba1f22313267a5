//go:build review

package main

import (
	crand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readyTime = 20 * time.Second
	endTime   = 5 * time.Second
	memoryMB  = 284
	maxFiles  = 4200
)

// zones are those of a small deployment, with their regions.
var zones = map[string]any{"grand-baie": "nord", "belle-mare": "est", "le-morne": "sud-ouest"}

// zoneNames are their names in the order in which machines are placed.
var zoneNames = []string{"grand-baie", "belle-mare", "le-morne"}

var errNotReady = errors.New("an entry process does not become ready")

// rig holds the processes and stand-ins of a case.
type rig struct {
	record   *record
	trouble  bool
	folder   string
	store    *store
	address  string // of the store
	net      int    // second and third number of the loopback addresses
	lastIP   int
	mu       sync.Mutex
	cleanups []func()
	program  []string
	template string
	bounds   map[string]any
	extra    map[string]any // further fields of the settings
	entries  []*entry
}

func newRig(record *record, trouble bool) (*rig, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	r := &rig{record: record, trouble: trouble, folder: folder, net: 256*(1+rand.IntN(250)) + rand.IntN(250), extra: map[string]any{}}
	r.bounds = map[string]any{
		"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 2500, "grace_s": 8,
		"loss_slack_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250, "max_skew_ms": 6000, "retry_budget_ratio": 0.2,
		"retry_window_s": 10, "budget_slack": 54, "recovery_s": 12, "transit_ms": 300, "reuse_window_s": 9.3, "require_fencing": true,
		"lease_ms": 3000, "thaw_ms": 300,
	}
	run, template, err := readDeploy("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	r.program, r.template = strings.Fields(run), string(text)
	if _, err := os.Stat(r.program[0]); err != nil {
		return nil, fmt.Errorf("build first as the deploy file says: %w", err)
	}
	r.store = newStore(record)
	l, err := net.Listen("tcp", r.ip()+":0")
	if err != nil {
		return nil, err
	}
	r.address = l.Addr().String()
	server := &http.Server{Handler: r.store}
	go func() { _ = server.Serve(l) }()
	r.cleanups = append(r.cleanups, func() { _ = server.Close() })
	return r, nil
}

// ip returns a loopback address that nothing else of the case has.
func (r *rig) ip() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastIP++
	return fmt.Sprintf("127.%d.%d.%d", r.net/256, r.net%256, r.lastIP)
}

func (r *rig) close() {
	for i := len(r.entries) - 1; i >= 0; i-- {
		r.entries[i].kill()
	}
	for i := len(r.cleanups) - 1; i >= 0; i-- {
		r.cleanups[i]()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	} else {
		fmt.Println(r.folder)
	}
}

// addCleanup adds a function that runs at the end of the case.
func (r *rig) addCleanup(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanups = append(r.cleanups, f)
}

// entry is an entry process.
type entry struct {
	rig     *rig
	name    string
	zone    string
	ip      string
	ports   [4]int // front, ready, control, peers
	path    string
	command *exec.Cmd
	done    chan struct{}
}

// newEntry prepares an entry process in a zone.
func (r *rig) newEntry(zone string, bootstrap bool) (*entry, error) {
	e := &entry{rig: r, name: fmt.Sprintf("front-%s-%d", zone, len(r.entries)+1), ip: r.ip()}
	for i := range e.ports {
		port, err := freePort(e.ip)
		if err != nil {
			return nil, err
		}
		e.ports[i] = port
	}
	r.entries = append(r.entries, e)
	e.path, e.zone = filepath.Join(r.folder, e.name+".ini"), zone
	return e, e.rewrite(bootstrap)
}

// rewrite writes the settings of the process.
func (e *entry) rewrite(bootstrap bool) error {
	r, zone := e.rig, e.zone
	fields := map[string]any{
		"node_name": e.name, "ip": e.ip, "zone": zone, "region": zones[zone], "internal_port_range": []any{e.ports[3], e.ports[3] + 15},
		"seeds": []any{}, "bootstrap": bootstrap, "heartbeat_ms": 1200, "zones": zones,
		"listen": map[string]any{
			"front": e.address(), "ready_address": fmt.Sprintf("%s:%d", e.ip, e.ports[1]),
		},
		"limits": map[string]any{"memory_mb": memoryMB, "max_fds": maxFiles},
		"bounds": r.bounds, "platform": map[string]any{"address": r.address},
	}
	for name, value := range r.extra {
		fields[name] = value
	}
	text, err := fill(r.template, []any{fields})
	if err != nil {
		return err
	}
	return os.WriteFile(e.path, []byte(text), 0o600)
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// address returns the address for clients.
func (e *entry) address() string { return fmt.Sprintf("%s:%d", e.ip, e.ports[0]) }

// start starts the process with the run line of the deploy file.
func (e *entry) start() error {
	args := append([]string{}, e.rig.program[1:]...)
	for i, arg := range args {
		if arg == "/etc/buckthorntrack/node.toml" {
			args[i] = e.path
		}
	}
	log, err := os.OpenFile(filepath.Join(e.rig.folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.command = exec.Command(e.rig.program[0], args...)
	e.command.Stdout, e.command.Stderr = log, log
	e.command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BUCKTHORNTRACK_NODE_FILE=" + e.path,
		fmt.Sprintf("BUCKTHORNTRACK_MEMORY=%d", memoryMB), fmt.Sprintf("BUCKTHORNTRACK_FILES=%d", maxFiles),
	}
	if err := e.command.Start(); err != nil {
		return err
	}
	e.rig.record.log("process %s is started", e.name)
	done := make(chan struct{})
	e.done = done
	command := e.command
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	e.rig.record.log("process %s gets signal %v", e.name, s)
	_ = e.command.Process.Signal(s)
}

// ended reports whether the process has ended.
func (e *entry) ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

func (e *entry) kill() {
	if e.command == nil || e.command.Process == nil || e.ended() {
		return
	}
	_ = e.command.Process.Signal(syscall.SIGCONT)
	_ = e.command.Process.Kill()
	select {
	case <-e.done:
	case <-time.After(endTime):
	}
}

// ready reports whether the process says that it is ready.
func (e *entry) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", e.ip, e.ports[1]))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts entry processes in the zones in turn and waits until all are ready.
func (r *rig) startAll(count int) error {
	for i := range count {
		e, err := r.newEntry(zoneNames[i%len(zoneNames)], true)
		if err != nil {
			return err
		}
		if err := e.start(); err != nil {
			return err
		}
	}
	return r.awaitReady()
}

func (r *rig) awaitReady() error {
	for deadline := time.Now().Add(readyTime); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, e := range r.entries {
			all = all && !e.ended() && e.ready()
		}
		if all {
			r.record.log("all processes are ready")
			return nil
		}
	}
	return errNotReady
}

// newID returns an id of a request.
func newID() string { return crand.Text() }
