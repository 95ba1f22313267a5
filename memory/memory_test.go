package memory

import (
	"context"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/fakes"
)

func TestMain(m *testing.M) {
	os.Exit(fakes.RunWithFixedSeed(m, 0))
}

// TestLargePartsLeaveRoomForSmallRequests guards against small requests that are refused as large bodies and answers hold all memory.
func TestLargePartsLeaveRoomForSmallRequests(t *testing.T) {
	b := New(100)
	ended, end := context.WithCancel(context.Background())
	end()
	first, err := b.Hold(ended, 10)
	assert.NilError(t, err)
	assert.Assert(t, first.Grow(65))
	assert.Assert(t, !first.Grow(1))
	assert.ErrorIs(t, first.Wait(ended, 1), ErrNoRoom)
	second, err := b.Hold(ended, 25)
	assert.NilError(t, err)
	_, err = b.Hold(ended, 1)
	assert.ErrorIs(t, err, ErrNoRoom)
	first.Release()
	second.Release()
	assert.Equal(t, b.Used(), int64(0))
}

// TestLargePartsWaitInTheirOrder guards against a large part that waits for ever while others come, and against small requests that
// wait behind large parts.
func TestLargePartsWaitInTheirOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(100)
		first, err := b.Hold(t.Context(), 0)
		assert.NilError(t, err)
		assert.Assert(t, first.Grow(50))
		var order []string
		var mu sync.Mutex
		var waiting sync.WaitGroup
		wait := func(name string, bytes int64) {
			waiting.Go(func() {
				s, err := b.Hold(t.Context(), 0)
				assert.NilError(t, err)
				assert.NilError(t, s.Wait(t.Context(), bytes))
				mu.Lock()
				order = append(order, name)
				mu.Unlock()
				time.Sleep(time.Second)
				s.Release()
			})
			synctest.Wait()
		}
		wait("larger", 60)
		wait("smaller", 20)
		assert.Equal(t, len(order), 0)
		assert.Assert(t, !first.Grow(1), "others wait")
		small, err := b.Hold(t.Context(), 50)
		assert.NilError(t, err)
		small.Release()
		first.Release()
		waiting.Wait()
		assert.DeepEqual(t, order, []string{"larger", "smaller"})
		assert.Equal(t, b.Used(), int64(0))
	})
}

// TestWaitEndsWithItsContext checks that those behind a request that gives up are served.
func TestWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(100)
		_, err := b.Hold(t.Context(), 50)
		assert.NilError(t, err)
		var waiting sync.WaitGroup
		waiting.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := b.Hold(ctx, 60)
			assert.ErrorIs(t, err, ErrNoRoom)
		})
		synctest.Wait()
		began := time.Now()
		_, err = b.Hold(t.Context(), 20)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), time.Second)
		waiting.Wait()
	})
}

// TestNeverMoreThanTheLimit checks the bound, and that all is given back, for any series of calls.
func TestNeverMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := New(1000)
		ended, end := context.WithCancel(context.Background())
		end()
		var shares []*Share
		rt.Repeat(map[string]func(*rapid.T){
			"hold": func(rt *rapid.T) {
				if s, err := b.Hold(ended, rapid.Int64Range(0, 400).Draw(rt, "bytes")); err == nil {
					shares = append(shares, s)
				}
			},
			"grow": func(rt *rapid.T) {
				if len(shares) > 0 {
					rapid.SampledFrom(shares).Draw(rt, "share").Grow(rapid.Int64Range(0, 400).Draw(rt, "bytes"))
				}
			},
			"release": func(rt *rapid.T) {
				if len(shares) > 0 {
					rapid.SampledFrom(shares).Draw(rt, "share").Release()
				}
			},
			"": func(rt *rapid.T) {
				if b.Used() > b.Limit() || b.Used() < 0 {
					rt.Fatalf("%d bytes of %d are held", b.Used(), b.Limit())
				}
			},
		})
		for _, s := range shares {
			s.Release()
		}
		if b.Used() != 0 {
			rt.Fatalf("%d bytes are held by nobody", b.Used())
		}
	})
}

// TestRoomWithoutWaiting checks what is taken or reported at once: neither passes those that wait, and large parts leave room to small ones.
func TestRoomWithoutWaiting(t *testing.T) {
	b := New(100)
	assert.Assert(t, !b.IsShort(75, true))
	assert.Assert(t, b.IsShort(76, true))
	assert.Assert(t, !b.IsShort(100, false))
	large := b.Share()
	assert.NilError(t, large.Wait(t.Context(), 75))
	small, ok := b.TryHold(25)
	assert.Assert(t, ok)
	_, ok = b.TryHold(1)
	assert.Assert(t, !ok)
	assert.Assert(t, b.IsShort(1, false))
	large.Release()
	assert.Equal(t, b.Used(), int64(25))
	small.Release()
	assert.Equal(t, b.Used(), int64(0))
}
