// Package cmds implements the command line.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// errReported marks a failure that has been printed already.
var errReported = errors.New("failure was reported")

// root defines the commands.
type root struct {
	Serve   serveCmd   `cmd:"" help:"Run the entry process."`
	Check   checkCmd   `cmd:"" help:"Merge and check a configuration folder."`
	Sync    syncCmd    `cmd:"" help:"Publish a configuration folder, and each change of it."`
	Status  statusCmd  `cmd:"" help:"Show what processes have in force, their engines and who holds authority."`
	Explain explainCmd `cmd:"" help:"Show the decision that a process would make for a request, without sending it."`
	Orders  ordersCmd  `cmd:"" help:"Show which order reached which engine, from whom and why."`
	Demo    demoCmd    `cmd:"" help:"Run two entry processes with stand-ins in one process."`
	Fake    fakeCmd    `cmd:"" help:"Run a stand-in for the platform, an engine or a service."`
	Load    loadCmd    `cmd:"" help:"Generate load on a running system with a mix of prompts and outputs."`
}

// env is the environment in which a command runs.
type env struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

// exit is the panic value by which the exit code that kong requests reaches Main.
type exit int

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) (code int) {
	ignoreHangup()
	defer func() {
		if r := recover(); r != nil {
			requested, ok := r.(exit)
			if !ok {
				panic(r)
			}
			code = int(requested)
		}
	}()
	var cli root
	parser, err := kong.New(&cli,
		kong.Name("buckthorntrack"),
		kong.Description("A serving system for a fixed fleet of model engines and plain services."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(c int) { panic(exit(c)) }),
	)
	if err != nil {
		return fail(stderr, err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "buckthorntrack: %v\n", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err = parsed.Run(&env{ctx: ctx, stdout: stdout, stderr: stderr})
	if err != nil {
		return fail(stderr, err)
	}
	return exitOK
}

// ignoreHangup keeps SIGHUP from ending the program. Commands that reload their settings register for it themselves.
func ignoreHangup() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
}

// fail prints the error, unless it has been printed already, and returns the exit code.
func fail(stderr io.Writer, err error) int {
	if !errors.Is(err, errReported) {
		_, _ = fmt.Fprintf(stderr, "buckthorntrack: %v\n", err)
	}
	return exitFailed
}

// newLog returns a logger with the level, or with level info if the level is invalid.
func newLog(w io.Writer, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(w).Level(parsed).With().Timestamp().Logger()
}
