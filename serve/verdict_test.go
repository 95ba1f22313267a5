package serve

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/claim"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/fault"
)

func TestMain(m *testing.M) {
	os.Exit(fakes.RunWithFixedSeed(m, 0))
}

// faultStep is a fault that is injected around one call.
type faultStep struct {
	name string
	set  func(tc *testCluster, s *fakes.Service)
}

var faultSteps = []faultStep{
	{"no fault", func(*testCluster, *fakes.Service) {}},
	{"upstream refuses", func(_ *testCluster, s *fakes.Service) { s.SetFaults(fakes.ServiceFaults{Refuse: true}) }},
	{"upstream runs and aborts", func(_ *testCluster, s *fakes.Service) { s.SetFaults(fakes.ServiceFaults{Abort: true}) }},
	{"upstream is slow", func(_ *testCluster, s *fakes.Service) {
		s.SetFaults(fakes.ServiceFaults{Delay: 3 * time.Second})
	}},
	{"upstream is cut off", func(tc *testCluster, _ *fakes.Service) { tc.network.SetPartition("a", "booking-1", true) }},
	{"upstream is cut off while the call runs", func(tc *testCluster, s *fakes.Service) {
		s.OnBook(func(fakes.Booking) { tc.network.SetPartition("a", "booking-1", true) })
	}},
	{"peer is cut off", func(tc *testCluster, _ *fakes.Service) { tc.network.SetPartition("a", "b", true) }},
	{"peer is cut off while the call runs", func(tc *testCluster, s *fakes.Service) {
		s.OnBook(func(fakes.Booking) { tc.network.SetPartition("a", "b", true) })
	}},
	{"peer is cut off at the claim", func(tc *testCluster, _ *fakes.Service) {
		tc.onClaimState(claim.StateOpen, func() { tc.network.SetPartition("a", "b", true) })
	}},
	{"upstream is cut off at the claim", func(tc *testCluster, _ *fakes.Service) {
		tc.onClaimState(claim.StateOpen, func() { tc.network.SetPartition("a", "booking-1", true) })
	}},
	{"platform is down", func(tc *testCluster, _ *fakes.Service) {
		tc.platform.SetFaults(fakes.PlatformFaults{Down: true})
	}},
	{"platform loses answers", func(tc *testCluster, _ *fakes.Service) {
		tc.platform.SetFaults(fakes.PlatformFaults{LoseAnswers: 2, LoseKeys: claim.Prefix})
	}},
	{"platform goes down at the claim", func(tc *testCluster, _ *fakes.Service) {
		tc.onClaimState(claim.StateOpen, func() { tc.platform.SetFaults(fakes.PlatformFaults{Down: true}) })
	}},
	{"platform goes down while the call runs", func(tc *testCluster, s *fakes.Service) {
		s.OnBook(func(fakes.Booking) { tc.platform.SetFaults(fakes.PlatformFaults{Down: true}) })
	}},
}

// clearFaults removes all injected faults.
func (tc *testCluster) clearFaults(s *fakes.Service) {
	s.SetFaults(fakes.ServiceFaults{})
	s.OnBook(nil)
	tc.store.OnPut(nil)
	tc.platform.SetFaults(fakes.PlatformFaults{})
	tc.network.SetPartition("a", "b", false)
	tc.network.SetPartition("a", "booking-1", false)
}

// TestNotRunIsTrue sends bookings under random faults and compares their verdicts with the service's ledger. A booking
// with the verdict notRun must not be in the ledger, one with status 201 and the verdict ran must be, and none may be
// there twice, also when a peer forwarded it.
func TestNotRunIsTrue(t *testing.T) {
	verdictCounts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, len(faultSteps)-1), 1, 5).Draw(rt, "steps")
		entries := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b"}), len(steps), len(steps)).Draw(rt, "through")
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			tc := newTestCluster(t)
			defer tc.close()
			tc.zones("za", "zb")
			s := tc.service("booking-1", "za", "refuses = 503")
			tc.publish()
			tc.start("a", "za")
			tc.start("b", "zb")
			for i, index := range steps {
				tc.clearFaults(s)
				time.Sleep(10 * time.Second)
				faultSteps[index].set(tc, s)
				id := fmt.Sprintf("request-%d", i)
				r := tc.book(tc.nodes[entries[i]], fmt.Sprintf("key-%d", i), "x", "X-Request-Id", id, "X-Deadline-Ms", "2000")
				tc.clearFaults(s)
				time.Sleep(10 * time.Second)
				verdictCounts[r.verdict()]++
				if err := checkVerdict(r, id, s); err != nil && failure == "" {
					failure = fmt.Sprintf("%s through %s: %v", faultSteps[index].name, entries[i], err)
				}
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
	t.Logf("verdicts: %v", verdictCounts)
}

// checkVerdict returns an error if the verdict contradicts the service's ledger.
func checkVerdict(r reply, id string, s *fakes.Service) error {
	entries := 0
	for _, b := range s.Bookings() {
		if string(b.RequestID) == id {
			entries++
		}
	}
	switch {
	case entries > 1:
		return fmt.Errorf("booking ran %d times", entries)
	case r.verdict() == fault.NotRun.String() && entries > 0:
		return fmt.Errorf("verdict is notRun but the booking ran")
	case r.verdict() == fault.Ran.String() && r.status == http.StatusCreated && entries == 0:
		return fmt.Errorf("verdict is ran but the booking did not run")
	default:
		return nil
	}
}
