// Package load drives a running system and measures what callers get.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	bytesPerToken = 4
	maxEventBytes = 1 << 20
	doneData      = "[DONE]"
	dataField     = "data: "
	chatPath      = "/v1/chat/completions"
	percent       = 100
	ramp          = 2 * time.Second
)

// Plan is a load.
type Plan struct {
	Targets     []string // caller addresses of processes, or of engines for a direct comparison
	Model       string
	Tenant      string
	Streams     int           // requests at once, in a closed loop; zero for an open one
	Rate        float64       // requests a second of an open loop
	Length      time.Duration // for which requests are sent
	Input       units.Tokens  // mean prompt
	Output      units.Tokens  // mean answer
	InputAfter  units.Tokens  // mean prompt in the second half, zero for the same
	FirstTarget time.Duration // bound on the first token of a good request
	GapTarget   time.Duration // bound on 95 in 100 gaps
	Seed        uint64
}

// Result is what callers got.
type Result struct {
	Sent            int
	Good            int
	Late            int // answered, and not good
	Verdicts        map[string]int
	Failed          int
	Tokens          int
	FirstTokenTimes []time.Duration // sorted
	TokenGaps       []time.Duration // sorted
	Length          time.Duration
}

// runner sends the requests of a plan.
type runner struct {
	plan   Plan
	client *http.Client
	began  time.Time

	mu     sync.Mutex
	random *rand.Rand
	result Result
}

// Run sends the load and waits for all answers.
func Run(ctx context.Context, p Plan) Result {
	transport := &http.Transport{MaxIdleConnsPerHost: max(p.Streams, 256)}
	defer transport.CloseIdleConnections()
	r := &runner{
		plan: p, client: &http.Client{Transport: transport}, random: rand.New(rand.NewPCG(p.Seed, 0)), began: time.Now(),
		result: Result{Verdicts: map[string]int{}},
	}
	if p.Streams > 0 {
		r.closed(ctx)
	} else {
		r.open(ctx)
	}
	r.result.Length = time.Since(r.began)
	slices.Sort(r.result.FirstTokenTimes)
	slices.Sort(r.result.TokenGaps)
	return r.result
}

// closed keeps a number of streams open.
func (r *runner) closed(ctx context.Context) {
	var streams conc.WaitGroup
	for i := range r.plan.Streams {
		streams.Go(func() {
			time.Sleep(ramp * time.Duration(i) / time.Duration(r.plan.Streams))
			for n := i; time.Since(r.began) < r.plan.Length && ctx.Err() == nil; n++ {
				r.request(ctx, n)
			}
		})
	}
	streams.Wait()
}

// open sends requests at random times, whether or not earlier ones were answered.
func (r *runner) open(ctx context.Context) {
	var requests conc.WaitGroup
	for n := 0; time.Since(r.began) < r.plan.Length && ctx.Err() == nil; n++ {
		requests.Go(func() { r.request(ctx, n) })
		r.mu.Lock()
		pause := time.Duration(r.random.ExpFloat64() / r.plan.Rate * float64(time.Second))
		r.mu.Unlock()
		time.Sleep(pause)
	}
	requests.Wait()
}

func (r *runner) request(ctx context.Context, n int) {
	target := r.plan.Targets[n%len(r.plan.Targets)]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+chatPath, r.body(n))
	if err != nil {
		return
	}
	if r.plan.Tenant != "" {
		request.Header.Set("X-Tenant", r.plan.Tenant)
	}
	began := time.Now()
	response, err := r.client.Do(request)
	if err != nil {
		r.broken()
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		r.refused(response.Header.Get("Buckthorntrack-Verdict"))
		return
	}
	r.read(response.Body, began)
}

// body returns a chat request with a prompt of the plan's length.
func (r *runner) body(n int) io.Reader {
	mean := r.plan.Input
	if r.plan.InputAfter > 0 && time.Since(r.began) > r.plan.Length/2 {
		mean = r.plan.InputAfter
	}
	r.mu.Lock()
	input := int(mean)/2 + r.random.IntN(max(int(mean), 1))
	output := int(r.plan.Output)/2 + r.random.IntN(max(int(r.plan.Output), 1))
	r.mu.Unlock()
	prompt := fmt.Sprintf("%d ", n) + strings.Repeat("tide ", input*bytesPerToken/len("tide "))
	data, _ := json.Marshal(chatRequest{
		Model: r.plan.Model, Stream: true, MaxTokens: max(output, 1),
		Messages: []chatMessage{{Role: "user", Content: prompt}},
	})
	return bytes.NewReader(data)
}

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (r *runner) read(body io.Reader, began time.Time) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	var times []time.Time
	done := false
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), dataField)
		if !ok {
			continue
		}
		if data == doneData {
			done = true
			break
		}
		times = append(times, time.Now())
	}
	if !done || len(times) == 0 {
		r.broken()
		return
	}
	r.answered(began, times)
}

func (r *runner) answered(began time.Time, times []time.Time) {
	first := times[0].Sub(began)
	gaps := make([]time.Duration, 0, len(times))
	late := 0
	for i := 1; i < len(times); i++ {
		gap := times[i].Sub(times[i-1])
		gaps = append(gaps, gap)
		if gap > r.plan.GapTarget {
			late++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.result.Verdicts["ran"]++
	r.result.Tokens += len(times)
	r.result.FirstTokenTimes = append(r.result.FirstTokenTimes, first)
	r.result.TokenGaps = append(r.result.TokenGaps, gaps...)
	if first <= r.plan.FirstTarget && percent*late <= (percent-95)*len(gaps) {
		r.result.Good++
		return
	}
	r.result.Late++
}

func (r *runner) refused(verdict string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.result.Verdicts[verdict]++
}

func (r *runner) broken() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.result.Failed++
}

// Percentile returns the value that that many in 100 of the sorted values do not exceed.
func Percentile(sorted []time.Duration, p int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)*p/percent, len(sorted)-1)]
}
