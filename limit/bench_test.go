package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/peer"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// BenchmarkLimit measures the check of one request and the end of a period, by number of tenants.
func BenchmarkLimit(b *testing.B) {
	for _, count := range []int{10, 100, 1500, 10_000} {
		cfg := config.Empty()
		var exchanges []*flow.Exchange
		for i := range count {
			t := &config.Tenant{Name: units.TenantName(fmt.Sprint(i)), RequestsPerSecond: 1e9}
			cfg.Tenants[t.Name] = t
			exchanges = append(exchanges, &flow.Exchange{Config: cfg, Tenant: t})
		}
		s := New("p", "z", peer.NewTable(time.Now), time.Now)
		for _, x := range exchanges {
			if err := s.Run(x); err != nil {
				b.Fatal(err)
			}
		}
		b.Run(fmt.Sprintf("request/tenants=%d", count), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				_ = s.Run(exchanges[i%count])
			}
		})
		b.Run(fmt.Sprintf("account/tenants=%d", count), func(b *testing.B) {
			for b.Loop() {
				s.EndPeriod(cfg)
			}
		})
	}
}
