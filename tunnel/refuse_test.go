package tunnel_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/reach"
	"github.com/buckthorntrack/buckthorntrack/tunnel"
)

func TestRefusals(t *testing.T) {
	hang := func(ctx context.Context) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for _, c := range []struct {
		name    string
		key     string
		address string
		setUp   func(r *rig)
		reason  tunnel.Reason // empty if the process does not answer
		dials   int64
		within  time.Duration
	}{
		{name: "wrong key", key: "other", address: engineAddress},
		{name: "no key", key: "", address: engineAddress},
		{name: "no engine's address", key: "test", address: "10.9.0.1:80", reason: tunnel.ReasonUnknown},
		{
			name: "isolated process", key: "test", address: engineAddress, reason: tunnel.ReasonIsolated,
			setUp: func(r *rig) { r.isolated.Store(true) },
		},
		{
			name: "engine refuses", key: "test", address: engineAddress, reason: tunnel.ReasonUnreachable, dials: 1,
		},
		{
			name: "engine is silent", key: "test", address: engineAddress, reason: tunnel.ReasonUnreachable, dials: 1,
			within: 600 * time.Millisecond, setUp: func(r *rig) { r.dial = hang },
		},
		{
			name: "process is not reached", key: "test", address: engineAddress,
			setUp: func(r *rig) { r.network.SetPartition("front", "process", true) },
		},
		{
			name: "process has stopped", key: "test", address: engineAddress, setUp: func(r *rig) { r.close() },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			inRig(t, 1, func(t *testing.T, r *rig) {
				if c.setUp != nil {
					c.setUp(r)
				}
				client, closeClient := tunnel.NewClient(tunnel.ClientOptions{Key: c.key, Dial: r.network.Host("front").Dial})
				defer closeClient()
				started := time.Now()
				_, err := client.Dial(t.Context(), processAddress, c.address)
				assert.Assert(t, time.Since(started) <= max(c.within, promptly))
				var refused *tunnel.RefusedError
				assert.Equal(t, errors.As(err, &refused), c.reason != "", "%v", err)
				assert.Equal(t, errors.Is(err, tunnel.ErrRefused), c.reason != "")
				if c.reason != "" {
					assert.Equal(t, refused.Reason, c.reason)
					ofEngine := c.reason == tunnel.ReasonUnreachable || c.reason == tunnel.ReasonUnknown
					assert.Equal(t, errors.Is(err, reach.ErrEngineUnreachable), ofEngine)
				}
				assert.Assert(t, err != nil)
				assert.Equal(t, r.dials.Load(), c.dials)
			})
		})
	}
}

func TestConnectionsAreLimited(t *testing.T) {
	inRig(t, 2, func(t *testing.T, r *rig) {
		engine, stop := r.listen()
		defer stop()
		first, _ := r.connect(engine)
		second, _ := r.connect(engine)
		assert.Equal(t, r.client.Open(), int64(2))
		_, err := r.client.Dial(t.Context(), processAddress, engineAddress)
		var refused *tunnel.RefusedError
		assert.Assert(t, errors.As(err, &refused), "%v", err)
		assert.Equal(t, refused.Reason, tunnel.ReasonBusy)
		assert.NilError(t, first.Close())
		time.Sleep(promptly)
		third, _ := r.connect(engine)
		assert.NilError(t, second.Close())
		assert.NilError(t, third.Close())
	})
}
