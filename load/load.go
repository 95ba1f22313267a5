// Package load generates requests for a running system and measures the answers that callers get.
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
	rampUp        = 2 * time.Second // over which the streams of a closed loop start
)

// Plan describes the requests to send.
type Plan struct {
	Targets     []string // caller addresses of processes, or addresses of engines to compare with
	Model       string
	Tenant      string
	Streams     int           // concurrent requests of a closed loop; zero for an open loop
	Rate        float64       // requests per second of an open loop
	Length      time.Duration // how long requests are sent
	Input       units.Tokens  // mean prompt length
	Output      units.Tokens  // mean answer length
	InputAfter  units.Tokens  // mean prompt length in the second half; zero for no change
	FirstTarget time.Duration // maximum time to the first token of a good request
	GapTarget   time.Duration // maximum gap between tokens, which 95% of the gaps of a good request meet
	Seed        uint64
}

// Result holds the counts and latencies of all requests.
type Result struct {
	Sent            int
	Good            int             // met both targets
	Late            int             // answered, but missed a target
	Verdicts        map[string]int  // answers by verdict
	Failed          int             // without a complete answer
	Tokens          int             // of complete answers
	FirstTokenTimes []time.Duration // times to the first token, sorted
	TokenGaps       []time.Duration // between two tokens, sorted
	Length          time.Duration
}

// runner sends the requests of a plan.
type runner struct {
	plan      Plan
	client    *http.Client
	startedAt time.Time

	mu     sync.Mutex
	random *rand.Rand
	result Result
}

// Run sends the requests of the plan and waits for all answers.
func Run(ctx context.Context, p Plan) Result {
	transport := &http.Transport{MaxIdleConnsPerHost: max(p.Streams, 256)}
	defer transport.CloseIdleConnections()
	r := &runner{
		plan: p, client: &http.Client{Transport: transport}, random: rand.New(rand.NewPCG(p.Seed, 0)), startedAt: time.Now(),
		result: Result{Verdicts: map[string]int{}},
	}
	if p.Streams > 0 {
		r.runClosedLoop(ctx)
	} else {
		r.runOpenLoop(ctx)
	}
	r.result.Length = time.Since(r.startedAt)
	slices.Sort(r.result.FirstTokenTimes)
	slices.Sort(r.result.TokenGaps)
	return r.result
}

// runClosedLoop keeps the number of concurrent requests constant after a ramp-up.
func (r *runner) runClosedLoop(ctx context.Context) {
	var streams conc.WaitGroup
	for i := range r.plan.Streams {
		streams.Go(func() {
			time.Sleep(rampUp * time.Duration(i) / time.Duration(r.plan.Streams))
			for n := i; time.Since(r.startedAt) < r.plan.Length && ctx.Err() == nil; n++ {
				r.sendRequest(ctx, n)
			}
		})
	}
	streams.Wait()
}

// runOpenLoop sends requests at exponentially distributed intervals, without waiting for answers.
func (r *runner) runOpenLoop(ctx context.Context) {
	var requests conc.WaitGroup
	for n := 0; time.Since(r.startedAt) < r.plan.Length && ctx.Err() == nil; n++ {
		requests.Go(func() { r.sendRequest(ctx, n) })
		r.mu.Lock()
		interval := time.Duration(r.random.ExpFloat64() / r.plan.Rate * float64(time.Second))
		r.mu.Unlock()
		time.Sleep(interval)
	}
	requests.Wait()
}

// sendRequest sends one request and records its outcome. The number n selects the target and is the first
// word of the prompt.
func (r *runner) sendRequest(ctx context.Context, n int) {
	target := r.plan.Targets[n%len(r.plan.Targets)]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+chatPath, r.requestBody(n))
	if err != nil {
		return
	}
	if r.plan.Tenant != "" {
		request.Header.Set("X-Tenant", r.plan.Tenant)
	}
	startedAt := time.Now()
	response, err := r.client.Do(request)
	if err != nil {
		r.recordFailure()
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		r.recordVerdict(response.Header.Get("Buckthorntrack-Verdict"))
		return
	}
	r.readStream(response.Body, startedAt)
}

// requestBody returns a chat request with random lengths of prompt and answer around the means of the plan.
func (r *runner) requestBody(n int) io.Reader {
	mean := r.plan.Input
	if r.plan.InputAfter > 0 && time.Since(r.startedAt) > r.plan.Length/2 {
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

// readStream reads the events of an answer and records when each token arrives.
func (r *runner) readStream(body io.Reader, startedAt time.Time) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	var arrivals []time.Time
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
		arrivals = append(arrivals, time.Now())
	}
	if !done || len(arrivals) == 0 {
		r.recordFailure()
		return
	}
	r.recordAnswer(startedAt, arrivals)
}

// recordAnswer adds a complete answer to the result.
func (r *runner) recordAnswer(startedAt time.Time, arrivals []time.Time) {
	firstToken := arrivals[0].Sub(startedAt)
	gaps := make([]time.Duration, 0, len(arrivals))
	lateGaps := 0
	for i := 1; i < len(arrivals); i++ {
		gap := arrivals[i].Sub(arrivals[i-1])
		gaps = append(gaps, gap)
		if gap > r.plan.GapTarget {
			lateGaps++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.result.Verdicts["ran"]++
	r.result.Tokens += len(arrivals)
	r.result.FirstTokenTimes = append(r.result.FirstTokenTimes, firstToken)
	r.result.TokenGaps = append(r.result.TokenGaps, gaps...)
	if firstToken <= r.plan.FirstTarget && percent*lateGaps <= (percent-95)*len(gaps) {
		r.result.Good++
		return
	}
	r.result.Late++
}

func (r *runner) recordVerdict(verdict string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.result.Verdicts[verdict]++
}

func (r *runner) recordFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.result.Failed++
}

// Percentile returns the p-th percentile of the sorted values, or zero if there are none.
func Percentile(sorted []time.Duration, p int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)*p/percent, len(sorted)-1)]
}
