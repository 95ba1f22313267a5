package cmds

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/serve"
	"github.com/buckthorntrack/buckthorntrack/socket"
)

// serveCmd runs the entry process.
type serveCmd struct {
	Settings string `required:"" env:"BUCKTHORNTRACK_NODE_FILE" placeholder:"FILE.ini" help:"Settings of the process."`
	Memory   int64  `env:"BUCKTHORNTRACK_MEMORY" placeholder:"MB" help:"Memory that the process may use, in place of that of the settings."`
	Files    int    `env:"BUCKTHORNTRACK_FILES" placeholder:"COUNT" help:"File descriptors that the process may use, in place of those of the settings."`
}

// Help returns an example.
func (serveCmd) Help() string {
	return "Example: buckthorntrack serve --settings /etc/buckthorntrack/process.ini"
}

// Run serves until SIGTERM.
func (c *serveCmd) Run(e *env) error {
	settings, err := config.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	if c.Memory > 0 {
		settings.Limits.Memory = c.Memory
	}
	if c.Files > 0 {
		settings.Limits.Files = c.Files
	}
	debug.SetMemoryLimit(settings.Limits.Memory << 20 / collectorDenominator * collectorNumerator)
	log := newLog(e.stderr, settings.Process.LogLevel).With().Str("process", string(settings.Process.Name)).Logger()
	if settings.Platform.Dialect == "objects" {
		return c.runRouted(e, settings)
	}
	process, closeProcess, err := serve.New(settings, socket.System(), time.Now, log)
	if err != nil {
		return err
	}
	defer closeProcess()
	_, _ = fmt.Fprintf(e.stdout, "callers %s admin %s\n", process.CallersAddress(), process.AdminAddress())
	return process.Run(e.ctx)
}
