package cmds

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/buckthorntrack/buckthorntrack/admin"
	"github.com/buckthorntrack/buckthorntrack/load"
	"github.com/buckthorntrack/buckthorntrack/order"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const cpuSecondsMetric = "process_cpu_seconds_total"

// loadCmd generates load on a running system.
type loadCmd struct {
	Target      []string      `default:"127.0.0.1:8080" placeholder:"ADDRESS" help:"Caller addresses of processes."`
	Direct      []string      `placeholder:"ADDRESS" help:"Engine addresses to drive first without the system, to compare."`
	Admin       []string      `placeholder:"ADDRESS" help:"Administration addresses, for processor time and role changes."`
	Model       string        `default:"guide-llm" help:"Model service to ask."`
	Tenant      string        `help:"Tenant of the requests."`
	Streams     int           `help:"Streams at once, in a closed loop."`
	Rate        float64       `default:"10" help:"Requests a second, unless --streams is given."`
	Length      time.Duration `default:"30s" help:"How long to send."`
	Input       units.Tokens  `default:"400" help:"Mean prompt tokens."`
	InputAfter  units.Tokens  `help:"Mean prompt tokens in the second half."`
	Output      units.Tokens  `default:"100" help:"Mean output tokens."`
	FirstTarget time.Duration `default:"690ms" help:"Bound on the first token of a good request."`
	GapTarget   time.Duration `default:"36ms" help:"Bound on 95 in 100 gaps of a good request."`
	Seed        uint64        `default:"1" help:"Seed of the draw."`
}

// Help returns an example.
func (loadCmd) Help() string {
	return "Example: buckthorntrack load --target 127.0.0.1:8080 --admin 127.0.0.1:8081 --rate 20 --input-after 1200"
}

// Run sends the load and prints the latencies and outcomes that callers observed.
func (c *loadCmd) Run(e *env) error {
	plan := load.Plan{
		Targets: c.Target, Model: c.Model, Tenant: c.Tenant, Streams: c.Streams, Rate: c.Rate, Length: c.Length,
		Input: c.Input, InputAfter: c.InputAfter, Output: c.Output, FirstTarget: c.FirstTarget, GapTarget: c.GapTarget,
		Seed: c.Seed,
	}
	if len(c.Direct) > 0 {
		direct := plan
		direct.Targets = c.Direct
		c.print(e, "direct", load.Run(e.ctx, direct))
	}
	cpuBefore, changesBefore := c.cpuSeconds(e.ctx), c.roleChanges(e.ctx)
	result := load.Run(e.ctx, plan)
	c.print(e, "system", result)
	if len(c.Admin) > 0 && result.Tokens > 0 {
		cpuUsed := c.cpuSeconds(e.ctx) - cpuBefore
		_, _ = fmt.Fprintf(e.stdout, "processor %.2f s, %.2f us for each token, role changes %d\n",
			cpuUsed, cpuUsed*1e6/float64(result.Tokens), c.roleChanges(e.ctx)-changesBefore)
	}
	return nil
}

func (c *loadCmd) print(e *env, name string, r load.Result) {
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	_, _ = fmt.Fprintf(e.stdout,
		"%s: sent %d good %d late %d broken %d verdicts %v tokens/s %.0f first p50 %.2f p95 %.2f p99 %.2f ms gap p50 %.2f p95 %.2f p99 %.2f ms\n",
		name, r.Sent, r.Good, r.Late, r.Failed, r.Verdicts, float64(r.Tokens)/r.Length.Seconds(),
		ms(load.Percentile(r.FirstTokenTimes, 50)), ms(load.Percentile(r.FirstTokenTimes, 95)),
		ms(load.Percentile(r.FirstTokenTimes, 99)), ms(load.Percentile(r.TokenGaps, 50)),
		ms(load.Percentile(r.TokenGaps, 95)), ms(load.Percentile(r.TokenGaps, 99)))
}

// roleChanges returns the number of completed orders in the journal, as the first process that responds reports it.
func (c *loadCmd) roleChanges(ctx context.Context) int {
	count := 0
	for _, address := range c.Admin {
		records, err := admin.New(address, "").Orders(ctx)
		if err != nil {
			continue
		}
		for _, r := range records {
			for _, i := range r.History {
				if i.Step == order.StepDone {
					count++
				}
			}
		}
		return count
	}
	return count
}

// cpuSeconds returns the total CPU time of the processes.
func (c *loadCmd) cpuSeconds(ctx context.Context) float64 {
	sum := 0.0
	for _, address := range c.Admin {
		sum += readMetric(ctx, address, cpuSecondsMetric)
	}
	return sum
}

// readMetric returns the value of a metric without labels, or zero if it cannot be read.
func readMetric(ctx context.Context, address, name string) float64 {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if text, ok := strings.CutPrefix(scanner.Text(), name+" "); ok {
			value, _ := strconv.ParseFloat(text, 64)
			return value
		}
	}
	return 0
}
