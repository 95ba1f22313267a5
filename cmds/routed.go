package cmds

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/buckthorntrack/buckthorntrack/assign"
	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/front"
	"github.com/buckthorntrack/buckthorntrack/logs"
	"github.com/buckthorntrack/buckthorntrack/platform"
	"github.com/buckthorntrack/buckthorntrack/socket"
)

const (
	// dialTimeout bounds the setup of a connection. Links have latencies of some tens of milliseconds.
	dialTimeout = 500 * time.Millisecond
	// probeIdle, probeInterval and probeCount set keep-alive probes that detect a broken connection within two seconds.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
	// collectorNumerator and collectorDenominator give the part of the memory of the process from which the collector works harder. The
	// rest is for the program's own pages, which the collector does not count, and for what is allocated while it works.
	collectorNumerator, collectorDenominator = 1, 2
	// userTimeout is the time after which a connection with unacknowledged data counts as broken.
	userTimeout = 2 * time.Second
)

// adapter returns the key prefixes, message formats and decoders of the platform that serves routes.
func adapter() front.Adapter {
	return front.Adapter{
		Dialect: platform.StoreFormat{}, Format: platform.CallFormat{},
		DecodeConfig: platform.DecodeConfig, DigestKeys: platform.DigestKeys, ListKeys: platform.ListKeys, DecodeEngine: platform.DecodeEntry,
		NewOrders: func(t http.RoundTripper) assign.Orders { return platform.Orders{Transport: t} },
		NewDutyAPI: func(t http.RoundTripper, address string) front.DutyAPI {
			return platform.Duties{Transport: t, Address: address}
		},
		ConfigPrefix: platform.ConfigPrefix, ConfigKey: platform.ConfigKey, EnginesPrefix: platform.EnginesPrefix,
	}
}

// routedNetwork returns a network that detects broken connections, since a peer without power or behind a partition
// does not close them.
func routedNetwork() front.Network {
	probes := net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
	control := func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: probes, Control: control}
	listen := net.ListenConfig{KeepAliveConfig: probes}
	return front.Network{
		Network: socket.Network{
			Listen: func(address string) (net.Listener, error) {
				return listen.Listen(context.Background(), "tcp", address)
			},
			Dial: socket.ReportResets(dialer.DialContext),
		},
		ListenPacket: func(address string) (net.PacketConn, error) {
			return net.ListenPacket("udp4", address)
		},
	}
}

// bootTime returns the time of a clock that keeps running while the VM is suspended.
func bootTime() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now() // not reached, as Linux has had this clock since 2.6.39
	}
	return time.Unix(t.Unix())
}

// runRouted serves routes until SIGTERM. It reloads the settings on SIGHUP.
func (c *serveCmd) runRouted(e *env, settings config.Settings) error {
	writer, closeLog := logs.New(e.stdout, settings.Process.LogRate, time.Now)
	defer closeLog()
	log := newLog(writer, settings.Process.LogLevel).With().Str("process", string(settings.Process.Name)).Logger()
	process, closeProcess, err := front.New(
		settings, routedNetwork(), adapter(), front.Clocks{Monotonic: time.Now, BootTime: bootTime}, log)
	if err != nil {
		return err
	}
	defer closeProcess()
	process.Gauge("log_lines_dropped", "Log lines that were dropped.", func() float64 { return float64(writer.Dropped()) })
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-done:
				return
			case <-reload:
				next, err := config.ReadSettings(c.Settings)
				if err != nil {
					log.Error().Err(err).Msg("serve: settings cannot be read and the previous ones stay in force")
					continue
				}
				process.Reload(next)
			}
		}
	}()
	return process.Run(e.ctx)
}
