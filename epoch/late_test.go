package epoch_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/epoch"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// TestAnswerToAProcessBeforeItsRestartResolvesNoOtherStream checks that an answer to a question of a process that was killed is not taken
// for one to the process that has its name now.
func TestAnswerToAProcessBeforeItsRestartResolvesNoOtherStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked []uint64
		platform := &records{err: errAway}
		platform.ask = func(question uint64, _ units.RequestID, _ bool) { asked = append(asked, question) }
		killed, closeKilled := newFleetBook(platform)
		_, err := killed.Resolve(t.Context(), service, "a", nil)
		assert.ErrorIs(t, err, epoch.ErrUnknownVersion)
		closeKilled()
		late := asked[0]
		platform.ask = nil
		restarted, closeRestarted := newFleetBook(platform)
		defer closeRestarted()
		time.AfterFunc(time.Millisecond, func() {
			answer(restarted, late, answersOf("far", epoch.Answer{Version: "v1", Known: true, Remembered: true}))
		})
		version, err := restarted.Resolve(t.Context(), service, "b", nil)
		assert.ErrorIs(t, err, epoch.ErrUnknownVersion, "version %q", version)
	})
}

// TestStreamsOfManyServicesAreResolvedInTime checks that the reads of one service do not delay those of others for longer than a stream
// waits to be resolved.
func TestStreamsOfManyServicesAreResolvedInTime(t *testing.T) {
	const services = 8
	synctest.Test(t, func(t *testing.T) {
		platform := &records{latest: map[units.ServiceName]epoch.Record{}, readTime: 5 * time.Millisecond}
		for n := range services {
			platform.latest[units.ServiceName(fmt.Sprint(n))] = recordOf(epoch.Shares{"v1": 64})
		}
		b, closeBook := newFleetBook(platform)
		defer closeBook()
		b.SetRecords(platform.latest, true)
		var resolving sync.WaitGroup
		for name := range platform.latest {
			resolving.Go(func() {
				version, err := b.Resolve(t.Context(), name, "a", nil)
				assert.Check(t, err)
				assert.Check(t, version == "v1")
			})
		}
		resolving.Wait()
	})
}
