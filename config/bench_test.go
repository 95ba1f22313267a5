package config

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// accounts returns a folder with that many tenants and engines for two years from now in proportion.
func accounts(count int) []File {
	var text strings.Builder
	text.WriteString(goodBase)
	for i := range count {
		fmt.Fprintf(&text, "[tenant account-%d]\ntoken = token-%d\nrequestsPerSecond = 50\ntokensPerSecond = 9000\n", i, i)
	}
	for i := range count * 4000 / 1500 {
		fmt.Fprintf(&text, "[engine e-%d]\nservice = guide-llm\nplace = grand-baie\naddress = 10.0.%d.%d:80\nvm = vm-%d\n",
			i, i/250, i%250+1, i)
	}
	return []File{{Name: "10.ini", Text: text.String()}}
}

// BenchmarkBuild measures merge and check by the number of accounts.
func BenchmarkBuild(b *testing.B) {
	for _, count := range []int{10, 100, 1500} {
		b.Run(fmt.Sprintf("accounts=%d", count), func(b *testing.B) {
			files := accounts(count)
			b.ReportMetric(float64(len(files[0].Text)), "B/folder")
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := Build(1, files); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkConfigMemory reports the memory of a configuration in force.
func BenchmarkConfigMemory(b *testing.B) {
	files := accounts(1500)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c, _, err := Build(1, files)
		if err != nil {
			b.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B")
		runtime.KeepAlive(c)
	}
}

// BenchmarkRuleFor measures the look-up of a rule by the number of rules.
func BenchmarkRuleFor(b *testing.B) {
	for _, count := range []int{4, 64, 1024} {
		b.Run(fmt.Sprintf("rules=%d", count), func(b *testing.B) {
			var text strings.Builder
			text.WriteString(goodBase)
			for i := range count {
				fmt.Fprintf(&text, "[rule r%d]\nservice = booking\npath = /path-%d\n", i, i)
			}
			c, _, err := Build(1, []File{{Name: "10.ini", Text: text.String()}})
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				c.RuleFor("booking", "POST", "/none")
			}
		})
	}
}
