package serve

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/relay"
)

// TestPoisonRequestCrashesAtMostTwoEngines repeatedly sends a request that crashes any engine that runs it, through
// several processes and alongside harmless requests. Quarantine must stop it after two crashes.
func TestPoisonRequestCrashesAtMostTwoEngines(t *testing.T) {
	runCluster(t, func(tc *testCluster) {
		tc.zones("za", "zb")
		for i := range 6 {
			tc.engine(fmt.Sprintf("guide-%d", i+1), []string{"za", "zb"}[i%2],
				fakes.EngineSettings{CrashText: "poison", Downtime: 2 * time.Second})
		}
		tc.publish()
		nodes := []*node{tc.start("a", "za"), tc.start("b", "za"), tc.start("c", "zb")}
		tc.await("links are open", func() bool { return len(nodes[0].mesh.Links()) == 2 })
		time.Sleep(2 * time.Second)

		const harmlessRequests = 30
		wait := background(harmlessRequests, func(i int) reply {
			return tc.chat(nodes[i%len(nodes)], fmt.Sprintf("harmless %d", i), 200)
		})
		time.Sleep(time.Second)
		var verdicts []string
		for i := range 6 {
			r := tc.chat(nodes[i%len(nodes)], "poison", 50)
			verdicts = append(verdicts, r.header.Get(relay.HeaderVerdict))
		}
		for i, r := range wait() {
			tc.assertComplete(r, fmt.Sprintf("harmless %d", i), 200)
		}
		crashes := 0
		for _, e := range tc.engines {
			crashes += e.Ledger().Crashes
		}
		assert.Assert(t, crashes <= 2, "%d engine crashes", crashes)
		assert.DeepEqual(t, verdicts[1:], []string{"notRun", "notRun", "notRun", "notRun", "notRun"})
	})
}

// TestMessageThatCrashesEnginesIsQuarantined checks that requests with a common first message under which five engines
// have crashed crash at most three more, though no two of them are alike, beside requests with another first message.
func TestMessageThatCrashesEnginesIsQuarantined(t *testing.T) {
	const (
		requests   = 40
		interval   = 400 * time.Millisecond
		stableTime = 4 * time.Second
	)
	runCluster(t, func(tc *testCluster) {
		tc.zones("za", "zb")
		for i := range 6 {
			tc.engine(fmt.Sprintf("guide-%d", i+1), []string{"za", "zb"}[i%2],
				fakes.EngineSettings{CrashText: "poison", Downtime: time.Second})
		}
		tc.publish()
		nodes := []*node{tc.start("a", "za"), tc.start("b", "za"), tc.start("c", "zb")}
		tc.await("links are open", func() bool { return len(nodes[0].mesh.Links()) == 2 })
		time.Sleep(2 * time.Second)
		crashes := func() (count int) {
			for _, e := range tc.engines {
				count += e.Ledger().Crashes
			}
			return count
		}
		sound := background(2*requests, func(i int) reply {
			time.Sleep(time.Duration(i) * interval / 2)
			return tc.chatAbout(nodes[i%len(nodes)], "briefing", fmt.Sprintf("sound %d", i))
		})
		var boundFrom time.Time
		atBound := 0
		for i := range requests {
			tc.chatAbout(nodes[i%len(nodes)], "poison", fmt.Sprintf("question %d", i))
			time.Sleep(interval)
			if boundFrom.IsZero() && crashes() >= 5 {
				boundFrom = time.Now().Add(stableTime)
			}
			if !boundFrom.IsZero() && atBound == 0 && time.Now().After(boundFrom) {
				atBound = crashes()
			}
		}
		served := 0
		for _, r := range sound() {
			if r.complete {
				served++
			}
		}
		t.Logf("%d engine crashes, %d of them after the bound; %d of %d sound requests were served",
			crashes(), crashes()-atBound, served, 2*requests)
		assert.Assert(t, crashes() < 5 || atBound > 0, "the fifth crash came too late for the bound to be checked")
		assert.Assert(t, crashes() < 5 || crashes()-atBound <= 3, "%d crashes after the bound", crashes()-atBound)
		assert.Assert(t, served >= requests, "only %d sound requests were served", served)
		assert.Assert(t, tc.chatAbout(nodes[0], "briefing", "last").complete)
	})
}

// chatAbout sends a chat request with a first message that other requests have too.
func (tc *testCluster) chatAbout(n *node, first, question string) reply {
	body, err := json.Marshal(fakes.ChatBody{
		Model: "guide-llm", Stream: true, MaxTokens: 20, Messages: []fakes.ChatMessage{
			{Role: "system", Content: first}, {Role: "user", Content: question},
		},
	})
	assert.NilError(tc.t, err)
	began := time.Now()
	response, err := tc.send(n, http.MethodPost, "/v1/chat/completions", string(body), nil)
	if err != nil {
		return reply{err: err, header: http.Header{}}
	}
	defer response.Body.Close()
	r := reply{status: response.StatusCode, header: response.Header}
	if response.StatusCode == http.StatusOK {
		r.readTokens(response.Body, began)
	}
	return r
}
