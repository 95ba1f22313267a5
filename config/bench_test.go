package config

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// accountsFolder returns a folder with the given number of tenants and a proportional number of engines: 4000 for 1500
// tenants, the fleet that is expected in two years.
func accountsFolder(count int) []File {
	var text strings.Builder
	text.WriteString(validBase)
	for i := range count {
		fmt.Fprintf(&text, "[tenant account-%d]\ntoken = token-%d\nrequestsPerSecond = 50\ntokensPerSecond = 9000\n", i, i)
	}
	for i := range count * 4000 / 1500 {
		fmt.Fprintf(&text, "[engine e-%d]\nservice = guide-llm\nplace = grand-baie\naddress = 10.0.%d.%d:80\nvm = vm-%d\n",
			i, i/250, i%250+1, i)
	}
	return []File{{Name: "10.ini", Text: text.String()}}
}

// BenchmarkBuild measures merging and validation by the number of tenants.
func BenchmarkBuild(b *testing.B) {
	for _, count := range []int{10, 100, 1500} {
		b.Run(fmt.Sprintf("accounts=%d", count), func(b *testing.B) {
			files := accountsFolder(count)
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

// BenchmarkConfigMemory reports the heap size of a configuration of 1500 tenants.
func BenchmarkConfigMemory(b *testing.B) {
	files := accountsFolder(1500)
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

// BenchmarkRuleFor measures a look-up that matches no rule by the number of rules.
func BenchmarkRuleFor(b *testing.B) {
	for _, count := range []int{4, 64, 1024} {
		b.Run(fmt.Sprintf("rules=%d", count), func(b *testing.B) {
			var text strings.Builder
			text.WriteString(validBase)
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
