package demand

import (
	"slices"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// binTime is the resolution of the view, the interval between the reports of a process.
	binTime = time.Second
	// binCount is the number of bins that are kept: a minute for the peak, and some for the windows at its ends.
	binCount = 72
	// peakTime is how long a peak counts.
	peakTime = time.Minute
	// reportDelay is the age from which all reports on a moment have usually come.
	reportDelay = time.Second
	// window is the time over which rates are averaged. The work of one second varies too much, as callers come in clumps.
	window = 3 * time.Second
	// maxGap bounds the time over which one report is spread. After a longer gap its rate counts for that time only.
	maxGap = 10 * time.Second
	// newUptime is the uptime up to which the first report of a process counts from the start of the process.
	newUptime = 3 * time.Second
	// maxSources bounds the processes that are remembered.
	maxSources = 4096
)

// Rate is work per second.
type Rate struct {
	Prefill  float64 // busy engines that prefill
	Slots    float64 // occupied slots of engines that run requests
	KVTokens float64 // occupied KV cache tokens
	Requests float64 // requests a second
	Late     float64 // late requests a second
}

// Load is the demand for a service in some availability zones.
type Load struct {
	Recent Rate          // of the last seconds
	Peak   Rate          // highest of the last minute, value by value
	Known  time.Duration // how long demand has been measured, zero if there was none
}

// View is the demand that all processes report. Reports may be lost, late, duplicated or out of order.
type View struct {
	clock units.Clock

	mu      sync.Mutex
	sources map[source]*seen
	series  map[series]*bins
	since   map[units.ServiceName]time.Time // first measured request
}

type source struct {
	process units.ProcessName
	service units.ServiceName
}

// seen is the latest report of a process on a service.
type seen struct {
	incarnation int64
	uptime      time.Duration
	totals      Totals
	at          time.Time
}

type series struct {
	service units.ServiceName
	place   units.PlaceName
}

// bins is a ring of the work in each binTime.
type bins struct {
	last  int64 // number of the newest bin
	rates [binCount]Rate
}

// NewView returns an empty view.
func NewView(clock units.Clock) *View {
	return &View{
		clock: clock, sources: map[source]*seen{}, series: map[series]*bins{}, since: map[units.ServiceName]time.Time{},
	}
}

// Report is what a process says of one service.
type Report struct {
	Process     units.ProcessName
	Place       units.PlaceName
	Incarnation int64         // start of the process
	Uptime      time.Duration // when the totals were read
	Service     units.ServiceName
	Totals      Totals
}

// Add takes in a report. One that is older than another of the same process is ignored.
func (v *View) Add(r Report) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock()
	key := source{r.Process, r.Service}
	before, ok := v.sources[key]
	if ok && (r.Incarnation < before.incarnation || r.Incarnation == before.incarnation && r.Uptime <= before.uptime) {
		return
	}
	if !ok && len(v.sources) >= maxSources {
		v.forgetSilent(now)
	}
	v.sources[key] = &seen{incarnation: r.Incarnation, uptime: r.Uptime, totals: r.Totals, at: now}
	known := seen{}
	switch {
	case ok && before.incarnation == r.Incarnation:
		known = *before
	case r.Uptime > newUptime:
		return // what it has done before is not known by time
	}
	v.spread(r, known, now)
}

// forgetSilent forgets processes that have not reported for longer than peaks count. The lock must be held.
func (v *View) forgetSilent(now time.Time) {
	for key, s := range v.sources {
		if now.Sub(s.at) > peakTime {
			delete(v.sources, key)
		}
	}
}

// spread adds the work since an earlier report evenly to the time in between. The lock must be held.
func (v *View) spread(r Report, before seen, now time.Time) {
	elapsed := r.Uptime - before.uptime
	seconds := elapsed.Seconds()
	if seconds <= 0 {
		return
	}
	rate := Rate{
		Prefill:  max((r.Totals.Prefill-before.totals.Prefill).Seconds(), 0) / seconds,
		Slots:    max((r.Totals.Occupied-before.totals.Occupied).Seconds(), 0) / seconds,
		KVTokens: max(float64(r.Totals.KV-before.totals.KV), 0) / 1000 / seconds,
		Requests: max(float64(r.Totals.Requests-before.totals.Requests), 0) / seconds,
		Late:     max(float64(r.Totals.Late-before.totals.Late), 0) / seconds,
	}
	if rate == (Rate{}) {
		return
	}
	if _, ok := v.since[r.Service]; !ok {
		v.since[r.Service] = now
	}
	key := series{r.Service, r.Place}
	b, ok := v.series[key]
	if !ok {
		b = &bins{last: binOf(now)}
		v.series[key] = b
	}
	b.advance(binOf(now))
	for from := now.Add(-min(elapsed, maxGap)); from.Before(now); {
		number := binOf(from)
		until := time.Unix(0, (number+1)*int64(binTime))
		if until.After(now) {
			until = now
		}
		b.at(number).add(rate, until.Sub(from).Seconds()/binTime.Seconds())
		from = until
	}
}

func binOf(t time.Time) int64 {
	return t.UnixNano() / int64(binTime)
}

// advance empties the bins up to the given one.
func (b *bins) advance(number int64) {
	if number-b.last >= binCount {
		b.rates = [binCount]Rate{}
		b.last = number
	}
	for b.last < number {
		b.last++
		b.rates[b.last%binCount] = Rate{}
	}
}

func (b *bins) at(number int64) *Rate {
	return &b.rates[number%binCount]
}

// get returns the rate of a bin, zero for one that is not kept.
func (b *bins) get(number int64) Rate {
	if number > b.last || number <= b.last-binCount {
		return Rate{}
	}
	return b.rates[number%binCount]
}

func (r *Rate) add(other Rate, weight float64) {
	r.Prefill += weight * other.Prefill
	r.Slots += weight * other.Slots
	r.KVTokens += weight * other.KVTokens
	r.Requests += weight * other.Requests
	r.Late += weight * other.Late
}

// raise raises each value to at least that of the other rate.
func (r *Rate) raise(other Rate) {
	r.Prefill = max(r.Prefill, other.Prefill)
	r.Slots = max(r.Slots, other.Slots)
	r.KVTokens = max(r.KVTokens, other.KVTokens)
	r.Requests = max(r.Requests, other.Requests)
	r.Late = max(r.Late, other.Late)
}

// Load returns the demand for a service by callers in the availability zones together, in all zones if none is given.
// The peak is that of the sum.
func (v *View) Load(service units.ServiceName, places ...units.PlaceName) Load {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock()
	var load Load
	if since, ok := v.since[service]; ok {
		load.Known = max(now.Sub(since), 1)
	}
	var chosen []*bins
	for key, b := range v.series {
		if key.service == service && (len(places) == 0 || slices.Contains(places, key.place)) {
			chosen = append(chosen, b)
		}
	}
	const width = int64(window / binTime)
	newest := binOf(now.Add(-reportDelay)) - 1 // the newest bin that is complete
	for end := newest; end > newest-int64(peakTime/binTime); end-- {
		var mean Rate
		for _, b := range chosen {
			for number := end; number > end-width; number-- {
				mean.add(b.get(number), 1/float64(width))
			}
		}
		if end == newest {
			load.Recent = mean
		}
		load.Peak.raise(mean)
	}
	return load
}
