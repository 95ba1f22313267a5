package bench

import (
	"context"
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"text/tabwriter"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/roles"
	"github.com/buckthorntrack/buckthorntrack/route"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const seed = 20261204

var (
	table  = flag.Bool("table", false, "print the table of all policies and traces")
	filter = flag.String("only", "", "regular expression for the trace/setup names to measure")
)

func goodput(weight float64) func(Fleet) roles.Policy {
	return func(f Fleet) roles.Policy { return roles.Goodput{Settings: settings(f, weight)} }
}

// settings returns the settings of a role policy for the fleet and the weight of a role change.
func settings(f Fleet, weight float64) roles.Settings {
	speeds := f.Speeds()
	result := roles.DefaultSettings(speeds.PrefillPerSecond, speeds.DecodePerSecond(), weight)
	result.MixedFraction = speeds.MixedFraction
	return result
}

func static(Fleet) roles.Policy { return roles.Static{} }

func threshold(f Fleet) roles.Policy { return roles.Threshold{Settings: settings(f, 0)} }

// Weights of a role change for the two users, in good requests per change.
const (
	lagonWeight    = 0
	cascadiaWeight = 150
)

func setups() []Setup {
	split, mixed := SmallFleet(6, 0), SmallFleet(0, 18)
	random := func(draw func(int) int) route.Policy[*route.View] { return route.Random{Draw: draw} }
	least := func(func(int) int) route.Policy[*route.View] { return route.LeastInFlight{} }
	return []Setup{
		{Name: "lagon", Fleet: mixed, RolePolicy: goodput(lagonWeight)},
		{Name: "cascadia", Fleet: mixed, RolePolicy: goodput(cascadiaWeight)},
		{Name: "lagonSplit", Fleet: split, RolePolicy: goodput(lagonWeight)},
		{Name: "cascadiaSplit", Fleet: split, RolePolicy: goodput(cascadiaWeight)},
		{Name: "static", Fleet: split, RolePolicy: static},
		{Name: "threshold", Fleet: split, RolePolicy: threshold},
		{Name: "random", Fleet: mixed, RolePolicy: static, Baseline: random, NoGate: true},
		{Name: "leastInFlight", Fleet: mixed, RolePolicy: static, Baseline: least, NoGate: true},
		{Name: "noReports", Fleet: mixed, RolePolicy: static, Ablation: route.Ablation{NoReports: true}},
		{Name: "noPrefixes", Fleet: mixed, RolePolicy: static, Ablation: route.Ablation{NoPrefixes: true}},
		{Name: "noPieces", Fleet: mixed, RolePolicy: static, Ablation: route.Ablation{NoPieces: true}},
		{Name: "noGate", Fleet: mixed, RolePolicy: static, NoGate: true},
	}
}

func workloads() []Workload {
	const length = 90 * time.Second
	steady := Constant(0.28)
	sine := Sine(0.30, 0.15, length)
	return []Workload{
		{Name: "steady60", Length: length, Load: 0.6, PrefillShare: steady},
		{Name: "steady90", Length: length, Load: 0.9, PrefillShare: steady},
		{Name: "steady100", Length: length, Load: 1.0, PrefillShare: steady},
		{Name: "steady130", Length: length, Load: 1.3, PrefillShare: steady},
		{Name: "step", Length: length, Load: 0.9, PrefillShare: Step(0.28, 0.42, 30*time.Second)},
		{Name: "swing", Length: length, Load: 0.9, PrefillShare: sine},
		{Name: "burst", Length: length, Load: 0.7, PrefillShare: steady, LongPromptShare: longPromptBurst},
		{Name: "withdrawn", Length: length, Load: 0.85, PrefillShare: sine, DrainAt: 40 * time.Second},
		{
			Name: "frozen", Length: length, Load: 0.85, PrefillShare: steady,
			FreezeAt: 30 * time.Second, UnfreezeAt: 60 * time.Second,
		},
		{
			Name: "crash", Length: length, Load: 0.6, PrefillShare: steady,
			CrashAt: 30 * time.Second, RestartAt: 45 * time.Second,
		},
		{Name: "heavy", Length: length, Load: 1.3, PrefillShare: steady, HeavyTenantShare: 0.8},
	}
}

// longPromptBurst returns the share of long prompts: 0.3 for 15 seconds, otherwise none.
func longPromptBurst(t time.Duration) float64 {
	if t > 30*time.Second && t < 45*time.Second {
		return 0.3
	}
	return 0
}

func measure(t *testing.T, s Setup, w Workload) Result {
	var r Result
	synctest.Test(t, func(*testing.T) {
		r = Run(context.Background(), s, Generate(w, s.Fleet, seed), seed)
	})
	return r
}

// TestTable prints goodput, role changes, shed requests, retries and first token times for each setup and trace.
func TestTable(t *testing.T) {
	if !*table {
		t.Skip("only with -table")
	}
	var mu sync.Mutex
	results := map[string]Result{}
	t.Run("measure", func(t *testing.T) {
		for _, w := range workloads() {
			for _, s := range setups() {
				if !regexp.MustCompile(*filter).MatchString(w.Name + "/" + s.Name) {
					continue
				}
				t.Run(w.Name+"/"+s.Name, func(t *testing.T) {
					t.Parallel()
					r := measure(t, s, w)
					mu.Lock()
					results[w.Name+s.Name] = r
					mu.Unlock()
				})
			}
		}
	})
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out,
		"trace\tpolicy\tsent\tgood\tof bound\tlate\tshed\tfailed\tretries\tresumes\trole changes\tfirst p95 low\tmiddle\thigh\t")
	for _, w := range workloads() {
		for _, s := range setups() {
			if r, ok := results[w.Name+s.Name]; ok {
				fmt.Fprintf(out, "%s\t%s\t%d\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n",
					r.Trace, r.Setup, r.Sent, r.Good, r.Goodput(), r.Late, r.Shed, r.Failed, r.Retries, r.Resumes,
					r.RoleChanges,
					firstTokenP95(r, 0), firstTokenP95(r, 1), firstTokenP95(r, 2))
			}
		}
	}
	_ = out.Flush()
}

// firstTokenP95 formats the 95th percentile of the time to the first token.
func firstTokenP95(r Result, p units.Priority) string {
	return r.FirstTokenP95[p].Round(time.Millisecond).String()
}

func setup(t *testing.T, name string) Setup {
	t.Helper()
	i := slices.IndexFunc(setups(), func(s Setup) bool { return s.Name == name })
	assert.Assert(t, i >= 0, "setup %q does not exist", name)
	return setups()[i]
}

func workload(t *testing.T, name string) Workload {
	t.Helper()
	i := slices.IndexFunc(workloads(), func(w Workload) bool { return w.Name == name })
	assert.Assert(t, i >= 0, "workload %q does not exist", name)
	return workloads()[i]
}

// Bounds that the users require.
const (
	minGoodput         = 0.95   // goodput with Lagon's weight, as a fraction of the bound
	minOverloadGoodput = 0.95   // good requests at 130% load, as a fraction of those at 100%
	maxGoodputLoss     = 0.03   // goodput with Lagon's weight minus that with Cascadia's
	maxRoleChanges     = 0.5    // role changes with Cascadia's weight, as a fraction of those of the threshold policy
	maxRetries         = 0.1    // retries beyond the reserve, as a fraction of the requests
	retryReserve       = 3 * 10 // retries that the three entry processes may send before any success
	minTenantGood      = 0.97   // good requests of a tenant within its share, as a fraction of its requests
)

func TestGoodputOfBound(t *testing.T) {
	for _, name := range []string{"steady60", "steady90", "steady130", "step", "swing", "burst", "withdrawn", "frozen"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := measure(t, setup(t, "lagon"), workload(t, name))
			assert.Assert(t, r.Goodput() >= minGoodput, "goodput is %.3f of the bound", r.Goodput())
			assert.Equal(t, r.Failed, 0)
		})
	}
}

func TestOverloadKeepsGoodput(t *testing.T) {
	t.Parallel()
	full := measure(t, setup(t, "lagon"), workload(t, "steady100"))
	over := measure(t, setup(t, "lagon"), workload(t, "steady130"))
	for priority, tally := range over.Classes {
		t.Logf("priority %d: %d of %d requests are good", priority, tally.Good, tally.Sent)
	}
	assert.Assert(t, over.Classes[2].GoodFraction() >= minGoodput, "requests of the highest priority are shed")
	assert.Assert(t, over.Classes[2].GoodFraction() >= over.Classes[1].GoodFraction() &&
		over.Classes[1].GoodFraction() >= over.Classes[0].GoodFraction())
	assert.Assert(t, float64(over.Good) >= minOverloadGoodput*float64(full.Good),
		"%d good requests at 130%% load, %d at 100%%", over.Good, full.Good)
}

// TestWeightOfRoleChanges starts without mixed engines, since a mixed fleet needs no role changes on these traces.
func TestWeightOfRoleChanges(t *testing.T) {
	var cascadiaChanges, thresholdChanges atomic.Int64
	t.Run("traces", func(t *testing.T) {
		for _, name := range []string{"steady100", "step", "swing", "burst", "withdrawn"} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				cascadia := measure(t, setup(t, "cascadiaSplit"), workload(t, name))
				lagon := measure(t, setup(t, "lagonSplit"), workload(t, name))
				cascadiaChanges.Add(int64(cascadia.RoleChanges))
				thresholdChanges.Add(int64(measure(t, setup(t, "threshold"), workload(t, name)).RoleChanges))
				assert.Assert(t, lagon.Goodput()-cascadia.Goodput() <= maxGoodputLoss,
					"goodput is %.3f with Cascadia's weight and %.3f with Lagon's", cascadia.Goodput(), lagon.Goodput())
			})
		}
	})
	changes, limit := float64(cascadiaChanges.Load()), maxRoleChanges*float64(thresholdChanges.Load())
	assert.Assert(t, changes <= limit, "%.0f role changes, want at most %.0f", changes, limit)
}

// TestThirdOfEnginesFails crashes a third of the engines: retries must stay within budget, and goodput must recover.
func TestThirdOfEnginesFails(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		gap  time.Duration
	}{
		{name: "at once"},
		{name: "one after the other", gap: time.Millisecond}, // requests move to engines that are about to crash
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			crash := workload(t, "crash")
			crash.CrashGap = tt.gap
			r := measure(t, setup(t, "lagon"), crash)
			assert.Assert(t, float64(r.Retries) <= maxRetries*float64(r.Sent)+retryReserve,
				"%d retries for %d requests", r.Retries, r.Sent)
			assert.Assert(t, r.LastThird.GoodFraction() >= minGoodput,
				"fraction %.3f is good in the last third", r.LastThird.GoodFraction())
			assert.Equal(t, r.Failed, 0)
		})
	}
}

func TestTenantWithinItsShareIsNotShed(t *testing.T) {
	t.Parallel()
	r := measure(t, setup(t, "lagon"), workload(t, "heavy"))
	light := r.Tenants[tenantNames[1]]
	t.Logf("%d of %d requests are good", light.Good, light.Sent)
	assert.Assert(t, light.GoodFraction() >= minTenantGood, "%d of %d requests are good", light.Good, light.Sent)
	assert.Assert(t, r.Tenants[tenantNames[0]].GoodFraction() < minTenantGood, "requests of the heavy tenant are not shed")
}
