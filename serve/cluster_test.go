package serve

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/head"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/relay"
	"github.com/buckthorntrack/buckthorntrack/socket"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	platformHost = "platform"
	callerHost   = "caller"
	awaitLimit   = 3 * time.Minute
)

// testCluster runs real entry processes with a stand-in platform and stand-in upstreams on an in-memory network, in
// virtual time.
type testCluster struct {
	t        *testing.T
	network  *fakes.Network
	store    *fakes.Store
	platform *fakes.Platform
	engines  map[string]*fakes.Engine
	services map[string]*fakes.Service
	nodes    map[string]*node
	folder   strings.Builder
	base     head.Base
	settings string // appended to the settings of each process that is started later
	client   *http.Client
	cleanups []func()
}

// node is one entry process.
type node struct {
	*Process

	name   string
	zone   string
	cancel context.CancelFunc
	done   chan error
}

// runCluster runs a test on a new cluster in virtual time.
func runCluster(t *testing.T, test func(tc *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		defer tc.close()
		test(tc)
	})
}

func newTestCluster(t *testing.T) *testCluster {
	tc := &testCluster{
		t: t, network: fakes.NewNetwork(), store: fakes.NewStore(), engines: map[string]*fakes.Engine{},
		services: map[string]*fakes.Service{}, nodes: map[string]*node{},
	}
	tc.platform = fakes.NewPlatform(tc.store)
	tc.listen(platformHost, "10.0.0.1:80", tc.platform)
	transport := &http.Transport{DialContext: tc.network.Host(callerHost).Dial, DisableKeepAlives: true}
	tc.client = &http.Client{Transport: transport}
	tc.folder.WriteString("[service guide-llm]\nkind = model\n[service booking]\nkind = plain\n")
	return tc
}

func (tc *testCluster) close() {
	for _, n := range tc.nodes {
		n.cancel()
	}
	for _, n := range tc.nodes {
		<-n.done
	}
	for i := len(tc.cleanups) - 1; i >= 0; i-- {
		tc.cleanups[i]()
	}
}

func (tc *testCluster) listen(host, address string, handler http.Handler) {
	stop, err := tc.network.Host(host).Serve(address, handler)
	assert.NilError(tc.t, err)
	tc.cleanups = append(tc.cleanups, stop)
}

// zones adds availability zones, each in a region of its own.
func (tc *testCluster) zones(names ...string) {
	for _, name := range names {
		fmt.Fprintf(&tc.folder, "[place %s]\nregion = region-%s\n", name, name)
	}
}

// engine adds a model engine. Extra lines go into its section of the folder.
func (tc *testCluster) engine(name, zone string, s fakes.EngineSettings, extra ...string) *fakes.Engine {
	s.Name = units.EngineName(name)
	if s.Rates.Batch == 0 {
		s.Rates = fakes.DefaultRates()
	}
	if s.Role == "" {
		s.Role = engine.RoleMixed
	}
	if s.Downtime == 0 {
		s.Downtime = time.Second
	}
	if s.ReportLag == 0 {
		s.ReportLag = 200 * time.Millisecond
	}
	e, stop := fakes.NewEngine(s)
	tc.cleanups = append(tc.cleanups, stop)
	tc.engines[name] = e
	tc.upstream(name, "guide-llm", zone, e, append(extra, fmt.Sprintf("checksFences = %t", s.ChecksFences))...)
	return e
}

// service adds an instance of the plain service.
func (tc *testCluster) service(name, zone string, extra ...string) *fakes.Service {
	s := fakes.NewService()
	tc.services[name] = s
	tc.upstream(name, "booking", zone, s, extra...)
	return s
}

func (tc *testCluster) upstream(name, service, zone string, handler http.Handler, extra ...string) {
	address := fmt.Sprintf("10.1.0.%d:80", len(tc.engines)+len(tc.services))
	tc.listen(name, address, handler)
	fmt.Fprintf(&tc.folder, "[engine %s]\nservice = %s\nplace = %s\naddress = %s\nvm = vm-%s\n%s\n",
		name, service, zone, address, name, strings.Join(extra, "\n"))
	tc.store.SetVM(objapi.VM{Name: units.VMName("vm-" + name), Place: units.PlaceName(zone), State: objapi.VMLive})
}

// publish publishes the folder, with the extra text in a later file, and returns its revision.
func (tc *testCluster) publish(extra ...string) units.Revision {
	files := []config.File{{Name: "10-base.ini", Text: tc.folder.String()}}
	if len(extra) > 0 {
		files = append(files, config.File{Name: "90-later.ini", Text: strings.Join(extra, "\n")})
	}
	result, err := head.Publish(tc.t.Context(), tc.store, files, tc.base, true)
	assert.NilError(tc.t, err)
	tc.base = result.Base
	return result.Revision
}

// start launches an entry process and waits until it is ready.
func (tc *testCluster) start(name, zone string) *node {
	n := tc.launch(name, zone)
	tc.await(name+" is ready", func() bool { return n.ready.Load() })
	return n
}

// launch starts an entry process on its own host without waiting until it is ready.
func (tc *testCluster) launch(name, zone string) *node {
	index := len(tc.nodes) + 1
	text := fmt.Sprintf("[process]\nname = %s\nplace = %s\nvm = vm-%s\nlisten = 10.2.0.%d:80\nstopDelay = 100ms\n"+
		"[admin]\nlisten = 10.2.0.%d:81\ntoken = t\n[platform]\naddress = http://10.0.0.1:80\n"+
		"[peers]\nlisten = 10.2.0.%d:82\nkey = k\n%s", name, zone, name, index, index, index, tc.settings)
	s, err := config.ParseSettings(config.File{Name: "settings.ini", Text: text})
	assert.NilError(tc.t, err)
	host := tc.network.Host(name)
	log := zerolog.Nop()
	if os.Getenv("WORLD_LOG") != "" {
		log = zerolog.New(zerolog.TestWriter{T: tc.t}).With().Str("process", name).Timestamp().Logger()
	}
	p, closeProcess, err := New(s, socket.Network{Listen: host.Listen, Dial: host.Dial}, time.Now, log)
	assert.NilError(tc.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{Process: p, name: name, zone: zone, cancel: cancel, done: make(chan error, 1)}
	go func() {
		err := p.Run(ctx)
		closeProcess()
		n.done <- err
	}()
	tc.nodes[name] = n
	tc.store.SetVM(objapi.VM{
		Name: s.Process.VM, Place: s.Process.Place, State: objapi.VMLive, Process: name, Address: s.Peers.Listen,
	})
	return n
}

// isolate permanently cuts a process off from all hosts, as if its VM had failed.
func (tc *testCluster) isolate(name string) {
	tc.setPartitions(name, append(tc.hosts(), callerHost, platformHost), true)
}

// setPartitions starts or ends network partitions between a host and each of the others.
func (tc *testCluster) setPartitions(name string, others []string, on bool) {
	for _, other := range others {
		if other != name {
			tc.network.SetPartition(name, other, on)
		}
	}
}

func (tc *testCluster) hosts() []string {
	var hosts []string
	for name := range tc.engines {
		hosts = append(hosts, name)
	}
	for name := range tc.services {
		hosts = append(hosts, name)
	}
	for name := range tc.nodes {
		hosts = append(hosts, name)
	}
	return hosts
}

// await polls the condition until it holds and returns the virtual time that this took. After awaitLimit it fails the
// test.
func (tc *testCluster) await(what string, condition func() bool) time.Duration {
	tc.t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > awaitLimit {
			tc.t.Fatalf("condition was not met in time: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// reply is the response to a caller, or the error that the caller got.
type reply struct {
	status   int
	header   http.Header
	body     string
	tokens   []string
	complete bool // the stream had its end marker
	err      error
	first    time.Duration // from the request to the first token
}

func (r reply) verdict() string {
	return r.header.Get(relay.HeaderVerdict)
}

// call sends a request to a process.
func (tc *testCluster) call(n *node, method, path, body string, headers ...string) reply {
	response, err := tc.send(n, method, path, body, headers)
	if err != nil {
		return reply{err: err, header: http.Header{}}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

// send sends a request with headers, which alternate between names and values.
func (tc *testCluster) send(n *node, method, path, body string, headers []string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(context.Background(), method,
		"http://"+n.settings.Process.Listen+path, strings.NewReader(body))
	assert.NilError(tc.t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return tc.client.Do(request)
}

// book sends a booking with the idempotency key.
func (tc *testCluster) book(n *node, key, body string, headers ...string) reply {
	return tc.call(n, http.MethodPost, "/services/booking/deposits", body,
		append([]string{engine.HeaderIdempotencyKey, key}, headers...)...)
}

// chatBody returns the body of a streamed chat completion request.
func chatBody(prompt string, tokens int) string {
	body, _ := json.Marshal(fakes.ChatBody{
		Model: "guide-llm", Stream: true, MaxTokens: int64(tokens),
		Messages: []fakes.ChatMessage{{Role: "user", Content: prompt}},
	})
	return string(body)
}

// chat requests a streamed chat completion and reads the whole stream.
func (tc *testCluster) chat(n *node, prompt string, tokens int, headers ...string) reply {
	began := time.Now()
	response, err := tc.send(n, http.MethodPost, "/v1/chat/completions", chatBody(prompt, tokens), headers)
	if err != nil {
		return reply{err: err, header: http.Header{}}
	}
	defer response.Body.Close()
	r := reply{status: response.StatusCode, header: response.Header}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		r.body = string(text)
		return r
	}
	r.readTokens(response.Body, began)
	return r
}

func (r *reply) readTokens(body io.Reader, began time.Time) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == engine.DoneData {
			r.complete = true
			continue
		}
		var chunk fakes.ChatChunk
		if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) == 0 {
			r.err = fmt.Errorf("event is not a token: %s", data)
			return
		}
		if len(r.tokens) == 0 {
			r.first = time.Since(began)
		}
		r.tokens = append(r.tokens, chunk.Choices[0].Delta.Content)
	}
	r.err = scanner.Err()
}

// assertComplete fails the test unless the reply is the complete answer to the prompt.
func (tc *testCluster) assertComplete(r reply, prompt string, tokens int) {
	tc.t.Helper()
	assert.NilError(tc.t, r.err)
	assert.Equal(tc.t, r.status, http.StatusOK, r.body)
	assert.Assert(tc.t, r.complete, "stream has no end marker after %d tokens", len(r.tokens))
	assert.DeepEqual(tc.t, r.tokens, expectedTokens(prompt, tokens))
}

// expectedTokens returns the tokens that every stand-in engine generates for the prompt.
func expectedTokens(prompt string, tokens int) []string {
	expected := make([]string, 0, tokens)
	for i := range tokens {
		expected = append(expected, fakes.TokenAt(prompt+"\n", units.Tokens(i)))
	}
	return expected
}

// background runs the calls concurrently and returns a function that waits for their replies.
func background[T any](count int, call func(i int) T) func() []T {
	replies := make([]T, count)
	done := make(chan struct{})
	for i := range count {
		go func() {
			replies[i] = call(i)
			done <- struct{}{}
		}()
	}
	return func() []T {
		for range count {
			<-done
		}
		return replies
	}
}
