//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNoStart = 2
)

// errBroken says that the rule of the case was broken.
type errBroken struct{ text string }

func (e errBroken) Error() string { return e.text }

var cases = map[string]func(r *rig) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		os.Exit(exitNoStart)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoStart
	}
	defer record.close()
	r, err := newRig(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.print("the case could not run: %v", err)
		return exitNoStart
	}
	defer r.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		r.close()
		os.Exit(exitNoStart)
	}()
	err = cases[name](r)
	switch e := err.(type) {
	case nil:
		record.print("held")
		return exitHeld
	case errBroken:
		record.print("BROKEN: %s", e.text)
		return exitBroken
	default:
		record.print("the case could not run: %v", err)
		return exitNoStart
	}
}
