//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a front; each front has a loopback address of its own.
const (
	portFront   = "8149"
	portReady   = "8141"
	portPeers   = "7380"
	portMetrics = "9464"
)

// Bounds and limits of the users' site cgw-stonecare, and files of the project.
const (
	boundGrace        = 8
	boundRetryRatio   = "0.2"
	boundRetryWindow  = "10"
	boundRetrySlack   = "56"
	boundApplyMS      = "2500"
	boundDrainMS      = "2500"
	boundHeartbeatMS  = "1200"
	limitMemoryMB     = 284
	limitFiles        = 4100
	program           = "target/buckthorntrack"
	templateFile      = "deploy/process.ini"
	deployFile        = "deploy/system.toml"
	processStartLimit = 10 * time.Second
)

// network hands out loopback addresses that nothing else listens at.
type network struct {
	prefix string
	next   int
}

// newNetwork picks an unused range of loopback addresses.
func newNetwork() (*network, error) {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		free := true
		for _, port := range []string{portFront, portReady, portPeers, portMetrics} {
			l, err := net.Listen("tcp", prefix+"1:"+port)
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return &network{prefix: prefix, next: 1}, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

func (n *network) address() string {
	n.next++
	return fmt.Sprintf("%s%d", n.prefix, n.next)
}

// fleet is the deployment under test.
type fleet struct {
	folder  string // of settings and logs
	store   string // address of the platform's store
	zones   string // as zone:region, joined by commas
	network *network
	record  *record

	mu     sync.Mutex
	fronts []*front
}

// front is one machine of the system with its process.
type front struct {
	fleet      *fleet
	name, zone string
	region, ip string
	settings   string
	bootstrap  bool

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	ended   bool // the case ended the process itself
	crashed bool // the process ended by itself
}

// add prepares a machine; it does not start its process.
func (f *fleet) add(name, zone, region string, bootstrap bool) (*front, error) {
	n := &front{fleet: f, name: name, zone: zone, region: region, ip: f.network.address(), bootstrap: bootstrap}
	n.settings = filepath.Join(f.folder, name+".ini")
	f.mu.Lock()
	f.fronts = append(f.fronts, n)
	f.mu.Unlock()
	return n, n.writeSettings()
}

// writeSettings fills the template in as the platform does.
func (n *front) writeSettings() error {
	template, err := os.ReadFile(templateFile)
	if err != nil {
		return err
	}
	text := strings.ReplaceAll(string(template), "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", n.fleet.zones)
	text, err = fillTemplate(text, n.values())
	if err != nil {
		return fmt.Errorf("template %s: %w", templateFile, err)
	}
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// values returns the values of the template's names. The deployments of the cases have no duty API and no accounts.
func (n *front) values() map[string]string {
	bootstrap := ""
	if n.bootstrap {
		bootstrap = "true"
	}
	return map[string]string{
		"node_name": n.name, "zone": n.zone, "region": n.region, "ip": n.ip, "bootstrap": bootstrap,
		"listen.front": n.ip + ":" + portFront, "listen.ready_address": n.ip + ":" + portReady,
		"internal_port_range.0": portPeers, "platform.address": n.fleet.store, "heartbeat_ms": boundHeartbeatMS,
		"bounds.grace_s": fmt.Sprint(boundGrace), "bounds.retry_budget_ratio": boundRetryRatio,
		"bounds.retry_window_s": boundRetryWindow, "bounds.budget_slack": boundRetrySlack,
		"bounds.config_apply_ms": boundApplyMS, "bounds.drain_ms": boundDrainMS,
		"bounds.revoke_fail_closed": "", "cloud.address": "",
	}
}

// environment returns the variables that the deploy file sets for the process.
func environment() ([]string, error) {
	deployment, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	_, rest, _ := strings.Cut(string(deployment), "\nenv = {")
	line, _, _ := strings.Cut(rest, "\n")
	line, err = fillTemplate(line, map[string]string{
		"limits.memory_mb": strconv.Itoa(limitMemoryMB), "limits.max_fds": strconv.Itoa(limitFiles),
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", deployFile, err)
	}
	var variables []string
	for _, match := range variablePattern.FindAllStringSubmatch(line, -1) {
		variables = append(variables, match[1]+"="+match[2])
	}
	return variables, nil
}

// variablePattern matches a variable and its value.
var variablePattern = regexp.MustCompile(`(\w+) = "([^"]*)"`)

// start starts the process with the run line and the variables of the deploy file. Later starts are no bootstrap.
func (n *front) start() error {
	variables, err := environment()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.fleet.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, "serve", "--settings", n.settings)
	command.Stdout, command.Stderr = log, log
	command.Env = slices.Concat(variables, []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BUCKTHORNTRACK_NODE_FILE=" + n.settings})
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.command, n.exited, n.ended = command, exited, false
	n.mu.Unlock()
	go func() {
		_ = command.Wait()
		n.mu.Lock()
		if !n.ended {
			n.crashed = true
			n.fleet.record.say("process of %s ended by itself: %v", n.name, command.ProcessState)
		}
		n.mu.Unlock()
		close(exited)
	}()
	n.bootstrap = false
	return n.writeSettings()
}

// signal sends a signal to the process.
func (n *front) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		n.ended = true
	}
	if n.command != nil {
		_ = n.command.Process.Signal(s)
	}
}

// await waits until the process has ended.
func (n *front) await(limit time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process at once.
func (n *front) kill() {
	n.signal(syscall.SIGKILL)
	n.await(processStartLimit)
}

// end kills all processes.
func (f *fleet) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.fronts {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range f.fronts {
		n.await(processStartLimit)
	}
}

var readyClient = &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// isReady asks the machine as the platform does.
func (n *front) isReady() bool {
	response, err := readyClient.Get("http://" + n.ip + ":" + portReady + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
