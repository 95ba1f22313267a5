package cmds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const fakeHeaderTimeout = 10 * time.Second

// fakeCmd runs fakes of the platform, an engine or a service.
type fakeCmd struct {
	Platform fakePlatformCmd `cmd:"" help:"Run a stand-in platform."`
	Engine   fakeEngineCmd   `cmd:"" help:"Run a stand-in model engine."`
	Service  fakeServiceCmd  `cmd:"" help:"Run a stand-in plain service."`
}

type fakePlatformCmd struct {
	Listen string `default:"127.0.0.1:7000" help:"Address to listen on."`
}

// Help returns an example.
func (fakePlatformCmd) Help() string {
	return "Example: buckthorntrack fake platform --listen 127.0.0.1:7000"
}

// Run serves until it is stopped.
func (c *fakePlatformCmd) Run(e *env) error {
	return serveFake(e, c.Listen, fakes.NewPlatform(fakes.NewStore()))
}

type fakeEngineCmd struct {
	Listen       string           `default:"127.0.0.1:7100" help:"Address to listen on."`
	Name         units.EngineName `default:"engine" help:"Name in the ledger."`
	Role         engine.Role      `default:"mixed" enum:"mixed,prefill,decode" help:"Role at the start."`
	ChecksFences bool             `help:"Refuse orders with an old fencing number."`
	CrashText    string           `help:"A prompt with this text crashes the engine."`
	Downtime     time.Duration    `default:"1s" help:"How long a crashed engine stays away."`
	ReportLag    time.Duration    `default:"200ms" help:"How old load reports may be."`
	RoleChange   time.Duration    `default:"4s" help:"How long a change of role takes."`
	Prefill      units.Tokens     `default:"24000" help:"Prompt tokens a second."`
	Sequence     time.Duration    `default:"250us" help:"Time that each request adds to a step."`
	Chunk        units.Tokens     `default:"256" help:"Most prompt tokens in a step that also decodes."`
	Batch        int              `default:"64" help:"Most requests in a step."`
}

// Help returns an example.
func (fakeEngineCmd) Help() string {
	return "Example: buckthorntrack fake engine --listen 127.0.0.1:7101 --name guide-1 --checks-fences"
}

// Run serves until it is stopped.
func (c *fakeEngineCmd) Run(e *env) error {
	rates := fakes.DefaultRates()
	rates.RoleChange = c.RoleChange
	rates.PrefillPerSecond = c.Prefill
	rates.StepPerSequence = c.Sequence
	rates.ChunkTokens = c.Chunk
	rates.Batch = c.Batch
	fakeEngine, stop := fakes.NewEngine(fakes.EngineSettings{
		Name: c.Name, Role: c.Role, Rates: rates, ReportLag: c.ReportLag, ChecksFences: c.ChecksFences,
		CrashText: c.CrashText, Downtime: c.Downtime,
	})
	defer stop()
	return serveFake(e, c.Listen, fakeEngine)
}

type fakeServiceCmd struct {
	Listen string `default:"127.0.0.1:7200" help:"Address to listen on."`
}

// Help returns an example.
func (fakeServiceCmd) Help() string {
	return "Example: buckthorntrack fake service --listen 127.0.0.1:7201"
}

// Run serves until it is stopped.
func (c *fakeServiceCmd) Run(e *env) error {
	return serveFake(e, c.Listen, fakes.NewService())
}

// serveFake serves the handler until the command is stopped.
func serveFake(e *env, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	_, _ = fmt.Fprintf(e.stdout, "listening %s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: fakeHeaderTimeout}
	stopped := context.AfterFunc(e.ctx, func() { _ = server.Close() })
	defer stopped()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", address, err)
	}
	return nil
}
