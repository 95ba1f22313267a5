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

// world is a platform, upstreams and entry processes on a network in memory, in virtual time.
type world struct {
	t        *testing.T
	network  *fakes.Network
	store    *fakes.Store
	platform *fakes.Platform
	engines  map[string]*fakes.Engine
	services map[string]*fakes.Service
	nodes    map[string]*node
	folder   strings.Builder
	base     head.Base
	settings string // added to the settings of each process
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

// inWorld runs a test in virtual time.
func inWorld(t *testing.T, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.close()
		test(w)
	})
}

func newWorld(t *testing.T) *world {
	w := &world{
		t: t, network: fakes.NewNetwork(), store: fakes.NewStore(), engines: map[string]*fakes.Engine{},
		services: map[string]*fakes.Service{}, nodes: map[string]*node{},
	}
	w.platform = fakes.NewPlatform(w.store)
	w.listen(platformHost, "10.0.0.1:80", w.platform)
	transport := &http.Transport{DialContext: w.network.Host(callerHost).Dial, DisableKeepAlives: true}
	w.client = &http.Client{Transport: transport}
	w.folder.WriteString("[service guide-llm]\nkind = model\n[service booking]\nkind = plain\n")
	return w
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.cancel()
	}
	for _, n := range w.nodes {
		<-n.done
	}
	for i := len(w.cleanups) - 1; i >= 0; i-- {
		w.cleanups[i]()
	}
}

func (w *world) listen(host, address string, handler http.Handler) {
	stop, err := w.network.Host(host).Serve(address, handler)
	assert.NilError(w.t, err)
	w.cleanups = append(w.cleanups, stop)
}

// zones adds availability zones, each in a region of its own.
func (w *world) zones(names ...string) {
	for _, name := range names {
		fmt.Fprintf(&w.folder, "[place %s]\nregion = region-%s\n", name, name)
	}
}

// engine adds a model engine. Extra lines go into its section of the folder.
func (w *world) engine(name, zone string, s fakes.EngineSettings, extra ...string) *fakes.Engine {
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
	w.cleanups = append(w.cleanups, stop)
	w.engines[name] = e
	w.upstream(name, "guide-llm", zone, e, append(extra, fmt.Sprintf("checksFences = %t", s.ChecksFences))...)
	return e
}

// service adds an instance of the plain service.
func (w *world) service(name, zone string, extra ...string) *fakes.Service {
	s := fakes.NewService()
	w.services[name] = s
	w.upstream(name, "booking", zone, s, extra...)
	return s
}

func (w *world) upstream(name, service, zone string, handler http.Handler, extra ...string) {
	address := fmt.Sprintf("10.1.0.%d:80", len(w.engines)+len(w.services))
	w.listen(name, address, handler)
	fmt.Fprintf(&w.folder, "[engine %s]\nservice = %s\nplace = %s\naddress = %s\nvm = vm-%s\n%s\n",
		name, service, zone, address, name, strings.Join(extra, "\n"))
	w.store.SetVM(objapi.VM{Name: units.VMName("vm-" + name), Place: units.PlaceName(zone), State: objapi.VMLive})
}

// publish makes the folder, with the extra text in a later file, the accepted configuration.
func (w *world) publish(extra ...string) units.Revision {
	files := []config.File{{Name: "10-base.ini", Text: w.folder.String()}}
	if len(extra) > 0 {
		files = append(files, config.File{Name: "90-later.ini", Text: strings.Join(extra, "\n")})
	}
	result, err := head.Publish(w.t.Context(), w.store, files, w.base, true)
	assert.NilError(w.t, err)
	w.base = result.Base
	return result.Revision
}

// start starts an entry process on a host of its own, and waits until it is ready.
func (w *world) start(name, zone string) *node {
	n := w.launch(name, zone)
	w.await(name+" is ready", func() bool { return n.ready.Load() })
	return n
}

func (w *world) launch(name, zone string) *node {
	index := len(w.nodes) + 1
	text := fmt.Sprintf("[process]\nname = %s\nplace = %s\nvm = vm-%s\nlisten = 10.2.0.%d:80\nstopDelay = 100ms\n"+
		"[admin]\nlisten = 10.2.0.%d:81\ntoken = t\n[platform]\naddress = http://10.0.0.1:80\n"+
		"[peers]\nlisten = 10.2.0.%d:82\nkey = k\n%s", name, zone, name, index, index, index, w.settings)
	s, err := config.ParseSettings(config.File{Name: "settings.ini", Text: text})
	assert.NilError(w.t, err)
	host := w.network.Host(name)
	log := zerolog.Nop()
	if os.Getenv("WORLD_LOG") != "" {
		log = zerolog.New(zerolog.TestWriter{T: w.t}).With().Str("process", name).Timestamp().Logger()
	}
	p, closeProcess, err := New(s, socket.Network{Listen: host.Listen, Dial: host.Dial}, time.Now, log)
	assert.NilError(w.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{Process: p, name: name, zone: zone, cancel: cancel, done: make(chan error, 1)}
	go func() {
		err := p.Run(ctx)
		closeProcess()
		n.done <- err
	}()
	w.nodes[name] = n
	w.store.SetVM(objapi.VM{
		Name: s.Process.VM, Place: s.Process.Place, State: objapi.VMLive, Process: name, Address: s.Peers.Listen,
	})
	return n
}

// isolate cuts a process off from all hosts for good, as if its VM had died.
func (w *world) isolate(name string) {
	w.cutFrom(name, append(w.hosts(), callerHost, platformHost), true)
}

func (w *world) cutFrom(name string, others []string, on bool) {
	for _, other := range others {
		if other != name {
			w.network.SetPartition(name, other, on)
		}
	}
}

func (w *world) hosts() []string {
	var hosts []string
	for name := range w.engines {
		hosts = append(hosts, name)
	}
	for name := range w.services {
		hosts = append(hosts, name)
	}
	for name := range w.nodes {
		hosts = append(hosts, name)
	}
	return hosts
}

// await waits in virtual time until the condition holds.
func (w *world) await(what string, condition func() bool) time.Duration {
	w.t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > awaitLimit {
			w.t.Fatalf("never came true: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// reply is what a caller got.
type reply struct {
	status   int
	header   http.Header
	body     string
	tokens   []string
	complete bool
	err      error
	first    time.Duration
}

func (r reply) verdict() string {
	return r.header.Get(relay.HeaderVerdict)
}

// call sends a request to a process.
func (w *world) call(n *node, method, path, body string, headers ...string) reply {
	response, err := w.send(n, method, path, body, headers)
	if err != nil {
		return reply{err: err, header: http.Header{}}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

// send sends a request with headers given as names and values in turn.
func (w *world) send(n *node, method, path, body string, headers []string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(context.Background(), method,
		"http://"+n.settings.Process.Listen+path, strings.NewReader(body))
	assert.NilError(w.t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return w.client.Do(request)
}

// book makes a deposit under the key.
func (w *world) book(n *node, key, body string, headers ...string) reply {
	return w.call(n, http.MethodPost, "/services/booking/deposits", body,
		append([]string{engine.HeaderIdempotencyKey, key}, headers...)...)
}

// chatBody returns the body of a streamed chat.
func chatBody(prompt string, tokens int) string {
	body, _ := json.Marshal(fakes.ChatBody{
		Model: "guide-llm", Stream: true, MaxTokens: int64(tokens),
		Messages: []fakes.ChatMessage{{Role: "user", Content: prompt}},
	})
	return string(body)
}

// chat streams an answer.
func (w *world) chat(n *node, prompt string, tokens int, headers ...string) reply {
	began := time.Now()
	response, err := w.send(n, http.MethodPost, "/v1/chat/completions", chatBody(prompt, tokens), headers)
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
			r.err = fmt.Errorf("not a token: %s", data)
			return
		}
		if len(r.tokens) == 0 {
			r.first = time.Since(began)
		}
		r.tokens = append(r.tokens, chunk.Choices[0].Delta.Content)
	}
	r.err = scanner.Err()
}

// wantWhole fails the test unless the reply is the whole answer to the prompt.
func (w *world) wantWhole(r reply, prompt string, tokens int) {
	w.t.Helper()
	assert.NilError(w.t, r.err)
	assert.Equal(w.t, r.status, http.StatusOK, r.body)
	assert.Assert(w.t, r.complete, "stream lacks its end marker after %d tokens", len(r.tokens))
	assert.DeepEqual(w.t, r.tokens, wanted(prompt, tokens))
}

// wanted returns the tokens that every engine says to the prompt.
func wanted(prompt string, tokens int) []string {
	said := make([]string, 0, tokens)
	for i := range tokens {
		said = append(said, fakes.TokenAt(prompt+"\n", units.Tokens(i)))
	}
	return said
}

// background runs calls beside the test, and returns a function that waits for their replies.
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
