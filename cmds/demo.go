package cmds

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/head"
	"github.com/buckthorntrack/buckthorntrack/serve"
	"github.com/buckthorntrack/buckthorntrack/socket"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	demoEnginesPerPlace = 3
	demoReportLag       = 200 * time.Millisecond
	demoKey             = "demo"
	demoPollInterval    = 100 * time.Millisecond
)

// demoCmd runs a complete system with fake upstreams in one operating system process.
type demoCmd struct {
	Listen string `default:"127.0.0.1:8080" help:"Address for callers."`
	Admin  string `default:"127.0.0.1:8081" help:"Address for administration."`
	Log    string `default:"warn" enum:"debug,info,warn,error" help:"Minimum log level."`
}

// Help returns an example.
func (demoCmd) Help() string {
	return "Example: buckthorntrack demo --listen 127.0.0.1:8080 --admin 127.0.0.1:8081"
}

// Run serves until SIGTERM.
func (c *demoCmd) Run(e *env) error {
	d := &demo{cmd: c, env: e, log: newLog(e.stderr, c.Log)}
	defer d.close()
	return d.run()
}

// demo holds the fakes and the entry processes.
type demo struct {
	cmd      *demoCmd
	env      *env
	log      zerolog.Logger
	cleanups []func()
	wg       conc.WaitGroup
	platform string          // base URL
	folder   strings.Builder // text of the configuration file
}

// run runs the entry processes until one fails or the context ends, and returns the first error.
func (d *demo) run() error {
	processes, err := d.build()
	if err != nil {
		return err
	}
	results := make(chan error, len(processes))
	ctx, cancel := context.WithCancel(d.env.ctx)
	defer cancel()
	for _, p := range processes {
		d.wg.Go(func() {
			results <- p.Run(ctx)
			cancel()
		})
	}
	if err := d.waitReady(ctx); err == nil {
		d.printExamples()
	}
	var first error
	for range processes {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// build starts the fakes, publishes the configuration and creates the entry processes.
func (d *demo) build() ([]*serve.Process, error) {
	store := fakes.NewStore()
	address, err := d.listen(fakes.NewPlatform(store))
	if err != nil {
		return nil, err
	}
	d.platform = "http://" + address
	d.folder.WriteString("[service guide-llm]\nkind = model\n[service booking]\nkind = plain\n")
	for _, zone := range []units.PlaceName{"grand-baie", "belle-mare"} {
		if err := d.addPlace(zone); err != nil {
			return nil, err
		}
	}
	files := []config.File{{Name: "10-demo.ini", Text: d.folder.String()}}
	if _, err := head.Publish(d.env.ctx, store, files, nil, false); err != nil {
		return nil, err
	}
	return d.processes()
}

// addPlace starts the fake engines and the fake service of an availability zone and adds them to the configuration.
func (d *demo) addPlace(zone units.PlaceName) error {
	_, _ = fmt.Fprintf(&d.folder, "[place %s]\nregion = %s\n", zone, zone)
	for i := range demoEnginesPerPlace {
		fakeEngine, stop := fakes.NewEngine(fakes.EngineSettings{
			Name: units.EngineName(fmt.Sprintf("guide-%s-%d", zone, i+1)), Role: engine.RoleMixed,
			Rates: fakes.DefaultRates(), ReportLag: demoReportLag, ChecksFences: true, Downtime: time.Second,
		})
		d.cleanups = append(d.cleanups, stop)
		address, err := d.listen(fakeEngine)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(&d.folder,
			"[engine guide-%s-%d]\nservice = guide-llm\nplace = %s\naddress = %s\nchecksFences = true\n",
			zone, i+1, zone, address)
	}
	address, err := d.listen(fakes.NewService())
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(&d.folder, "[engine booking-%s]\nservice = booking\nplace = %s\naddress = %s\n",
		zone, zone, address)
	return nil
}

// processes creates one entry process for each availability zone.
func (d *demo) processes() ([]*serve.Process, error) {
	peers := make([]string, 2)
	for i := range peers {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		peers[i] = address
	}
	var processes []*serve.Process
	for i, zone := range []units.PlaceName{"grand-baie", "belle-mare"} {
		listen, admin := d.cmd.Listen, d.cmd.Admin
		if i > 0 {
			listen, admin = "127.0.0.1:0", "127.0.0.1:0"
		}
		text := fmt.Sprintf("[process]\nname = demo-%d\nplace = %s\nlisten = %s\nstopDelay = 200ms\n[admin]\nlisten = %s\n"+
			"[platform]\naddress = %s\n[peers]\nlisten = %s\nkey = %s\nseeds = %s\n",
			i+1, zone, listen, admin, d.platform, peers[i], demoKey, peers[1-i])
		settings, err := config.ParseSettings(config.File{Name: "demo.ini", Text: text})
		if err != nil {
			return nil, err
		}
		log := d.log.With().Str("process", string(settings.Process.Name)).Logger()
		p, closeProcess, err := serve.New(settings, socket.System(), time.Now, log)
		if err != nil {
			return nil, err
		}
		d.cleanups = append(d.cleanups, closeProcess)
		processes = append(processes, p)
	}
	return processes, nil
}

// listen serves the handler on a free loopback port.
func (d *demo) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: fakeHeaderTimeout}
	d.wg.Go(func() { _ = server.Serve(listener) })
	d.cleanups = append(d.cleanups, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// waitReady waits until the first process is ready.
func (d *demo) waitReady(ctx context.Context) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.cmd.Admin+"/readyz", http.NoBody)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !wait.Sleep(ctx, demoPollInterval) {
			return ctx.Err()
		}
	}
}

func (d *demo) printExamples() {
	_, _ = fmt.Fprintf(d.env.stdout, `buckthorntrack demo: two entry processes, a platform, six engines and two booking instances.

curl -N http://%[1]s/v1/chat/completions -d '{"model":"guide-llm","stream":true,"messages":[{"role":"user","content":"tide?"}]}'
curl http://%[1]s/services/booking/availability
curl -i -X POST -H 'Idempotency-Key: boat-7' http://%[1]s/services/booking/deposits -d '{"boat":7}'
go run . status --admin %[2]s
curl http://%[2]s/metrics

ready
`, d.cmd.Listen, d.cmd.Admin)
}

func (d *demo) close() {
	for i := len(d.cleanups) - 1; i >= 0; i-- {
		d.cleanups[i]()
	}
	d.wg.Wait()
}

// freeAddress returns a loopback address that is not in use. It is not reserved.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
