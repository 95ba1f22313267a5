//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// slashes sends requests whose path begins with two slashes to a route for all paths.
func slashes(r *rig) (bool, error) {
	if err := r.plainDeployment("willamette-a", "willamette", 3, plainWork); err != nil {
		return false, err
	}
	r.store.put("config", "main", manifestOf(2, []string{"desk"}, routeOf("all", host, "/", "unsafe", "desk", 1, 6000)))
	n, err := r.fleet.add("front-willamette-a-1", "willamette-a", "willamette", true)
	if err != nil {
		return false, err
	}
	if err := n.start(); err != nil {
		return false, err
	}
	if !await(15*time.Second, n.isReady) {
		return false, fmt.Errorf("%w: the machine does not get ready", errNotRun)
	}
	path := "/deposit/1?boat=7"
	if r.trouble {
		path = "/" + path
	}
	changed := 0
	sent := map[string]bool{}
	for range 20 {
		a := call(r.record, n, host, http.MethodPost, path, []byte("boat=7"), 6*time.Second)
		sent[a.id] = true
	}
	for _, e := range r.engines {
		for _, x := range e.all() {
			if sent[x.request] && !strings.HasSuffix(x.line, " "+path) || strings.Contains(x.line, "http:") {
				changed++
				r.printf("sent %q, run %q", "POST "+path, x.line)
			}
		}
	}
	r.say("%d of %d requests ran with another path", changed, len(sent))
	return changed > 0, nil
}
