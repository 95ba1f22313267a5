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

// step is one fault around a call.
type step struct {
	Name string
	set  func(w *world, s *fakes.Service)
}

var steps = []step{
	{"nothing", func(*world, *fakes.Service) {}},
	{"upstream refuses", func(_ *world, s *fakes.Service) { s.SetFaults(fakes.ServiceFaults{Refuse: true}) }},
	{"upstream runs and aborts", func(_ *world, s *fakes.Service) { s.SetFaults(fakes.ServiceFaults{Abort: true}) }},
	{"upstream is slow", func(_ *world, s *fakes.Service) {
		s.SetFaults(fakes.ServiceFaults{Delay: 3 * time.Second})
	}},
	{"upstream is cut off", func(w *world, _ *fakes.Service) { w.network.SetPartition("a", "booking-1", true) }},
	{"upstream is cut off while it runs", func(w *world, s *fakes.Service) {
		s.OnBook(func(fakes.Booking) { w.network.SetPartition("a", "booking-1", true) })
	}},
	{"peer is cut off", func(w *world, _ *fakes.Service) { w.network.SetPartition("a", "b", true) }},
	{"peer is cut off while the call runs", func(w *world, s *fakes.Service) {
		s.OnBook(func(fakes.Booking) { w.network.SetPartition("a", "b", true) })
	}},
	{"peer is cut off at the claim", func(w *world, _ *fakes.Service) {
		w.onClaim(claim.StateOpen, func() { w.network.SetPartition("a", "b", true) })
	}},
	{"upstream is cut off at the claim", func(w *world, _ *fakes.Service) {
		w.onClaim(claim.StateOpen, func() { w.network.SetPartition("a", "booking-1", true) })
	}},
	{"platform is down", func(w *world, _ *fakes.Service) { w.platform.SetFaults(fakes.PlatformFaults{Down: true}) }},
	{"platform loses answers", func(w *world, _ *fakes.Service) {
		w.platform.SetFaults(fakes.PlatformFaults{LoseAnswers: 2, LoseKeys: claim.Prefix})
	}},
	{"platform goes down at the claim", func(w *world, _ *fakes.Service) {
		w.onClaim(claim.StateOpen, func() { w.platform.SetFaults(fakes.PlatformFaults{Down: true}) })
	}},
	{"platform goes down while the call runs", func(w *world, s *fakes.Service) {
		s.OnBook(func(fakes.Booking) { w.platform.SetFaults(fakes.PlatformFaults{Down: true}) })
	}},
}

// heal takes all faults away.
func (w *world) heal(s *fakes.Service) {
	s.SetFaults(fakes.ServiceFaults{})
	s.OnBook(nil)
	w.store.OnPut(nil)
	w.platform.SetFaults(fakes.PlatformFaults{})
	w.network.SetPartition("a", "b", false)
	w.network.SetPartition("a", "booking-1", false)
}

// TestNotRunIsTrue sends bookings under random faults. A booking that was answered notRun must not be
// in the service's ledger, also when it was passed on by a peer.
func TestNotRunIsTrue(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		drawn := rapid.SliceOfN(rapid.IntRange(0, len(steps)-1), 1, 5).Draw(rt, "steps")
		through := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b"}), len(drawn), len(drawn)).Draw(rt, "through")
		problem := ""
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t)
			defer w.close()
			w.zones("za", "zb")
			s := w.service("booking-1", "za", "refuses = 503")
			w.publish()
			w.start("a", "za")
			w.start("b", "zb")
			for i, index := range drawn {
				w.heal(s)
				time.Sleep(10 * time.Second)
				steps[index].set(w, s)
				id := fmt.Sprintf("request-%d", i)
				r := w.book(w.nodes[through[i]], fmt.Sprintf("key-%d", i), "x", "X-Request-Id", id, "X-Deadline-Ms", "2000")
				w.heal(s)
				time.Sleep(10 * time.Second)
				counts[r.verdict()]++
				if err := checkVerdict(r, id, s); err != nil && problem == "" {
					problem = fmt.Sprintf("%s through %s: %v", steps[index].Name, through[i], err)
				}
			}
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
	t.Logf("verdicts: %v", counts)
}

// checkVerdict compares a verdict with the ledger.
func checkVerdict(r reply, id string, s *fakes.Service) error {
	entries := 0
	for _, b := range s.Bookings() {
		if string(b.RequestID) == id {
			entries++
		}
	}
	switch {
	case entries > 1:
		return fmt.Errorf("ran %d times", entries)
	case r.verdict() == fault.NotRun.String() && entries > 0:
		return fmt.Errorf("answered notRun, and ran")
	case r.verdict() == fault.Ran.String() && r.status == http.StatusCreated && entries == 0:
		return fmt.Errorf("answered ran, and did not")
	default:
		return nil
	}
}
