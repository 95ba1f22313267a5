//go:build review

// Command stand runs the cases of the review that are scripts, with stand-ins for the platform, engines and clients.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// errNotRun means that a case could not be run.
var errNotRun = errors.New("case could not be run")

// rig is what all cases need.
type rig struct {
	*record
	network *network
	store   *store
	fleet   *fleet
	trouble bool
	engines []*engine
}

// cases holds the cases by name, those of the folders first. Each reports whether the rule was broken.
var cases = map[string]func(r *rig) (broken bool, err error){
	"release":  release,
	"replaced": replaced,
	"bodies":   bodies,
	"idle":     idle,
	"deadly":   deadly,
	"leaving":  leaving,
	"slashes":  slashes,
}

func main() {
	os.Exit(runCase(os.Args))
}

func runCase(args []string) int {
	if len(args) != 3 || cases[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return exitNotRun
	}
	r, end, err := newRig(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return exitNotRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		end()
		os.Exit(exitNotRun)
	}()
	defer end()
	broken, err := cases[args[1]](r)
	switch {
	case err != nil:
		r.say("not run: %v", err)
		return exitNotRun
	case broken:
		r.say("the rule was broken")
		return exitBroken
	default:
		r.say("the rule held")
		return exitHeld
	}
}

// newRig starts the platform's store. The function it returns ends all that the case has started.
func newRig(folder string) (*rig, func(), error) {
	rec, err := newRecord(folder)
	if err != nil {
		return nil, nil, err
	}
	n, err := newNetwork()
	if err != nil {
		return nil, nil, err
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, nil, err
	}
	if _, err := os.Stat(filepath.FromSlash(program)); err != nil {
		return nil, nil, err
	}
	s := newStore()
	listener, err := net.Listen("tcp", n.prefix+"1:0")
	if err != nil {
		return nil, nil, err
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(listener) }()
	r := &rig{
		record: rec, network: n, store: s, trouble: os.Getenv("TROUBLE") != "0",
		fleet: &fleet{folder: temporary, store: listener.Addr().String(), network: n, record: rec},
	}
	return r, func() {
		r.fleet.end()
		_ = server.Close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(temporary)
		} else {
			r.say("settings and logs are in %s", temporary)
		}
		rec.close()
	}, nil
}

// plainWork is the usual time that an engine works on a request.
const plainWork = 20 * time.Millisecond

// plainDeployment starts engines of a plain service and writes the first manifest.
func (r *rig) plainDeployment(zone, region string, engines int, work time.Duration) error {
	r.fleet.zones = zone + ":" + region
	for i := range engines {
		e, err := newEngine(r.record, fmt.Sprintf("i-desk%d", i), "desk", zone, r.network.address()+":8080", 6, work)
		if err != nil {
			return err
		}
		r.engines = append(r.engines, e)
		r.store.put("servers", e.id, e.entry("ready"))
	}
	r.store.put("config", "main", manifestOf(1, []string{"desk"},
		routeOf("avail", host, "/avail/", "safe", "desk", 2, 6000), routeOf("deposit", host, "/deposit/", "unsafe", "desk", 1, 6000)))
	return nil
}
