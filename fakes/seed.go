package fakes

import (
	"flag"
	"strconv"
)

// fixedSeed makes property tests generate the same cases in every run.
const fixedSeed = "20261204"

// RunWithFixedSeed runs the tests of a package with a fixed seed for property tests. Each property is checked with the
// given number of generated cases, or rapid's default number if it is zero. Command-line flags take precedence.
func RunWithFixedSeed(tests interface{ Run() int }, checks int) int {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", fixedSeed) // cannot fail: the flag accepts any integer
	}
	if f := flag.Lookup("rapid.checks"); checks > 0 && f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.checks", strconv.Itoa(checks))
	}
	return tests.Run()
}
