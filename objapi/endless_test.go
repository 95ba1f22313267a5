package objapi_test

import (
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/objapi"
)

// maxHeldBytes is the heap that calls may take together, with the connections of the test.
const maxHeldBytes = 64 << 20

// TestAnswersWithoutEndAreBoundedTogether guards against a platform whose answers do not end, and use up the memory of the process.
func TestAnswersWithoutEndAreBoundedTogether(t *testing.T) {
	part := strings.Repeat("x", 64<<10)
	synctest.Test(t, func(t *testing.T) {
		network := fakes.NewNetwork()
		stop, err := network.Host("platform").Serve("10.0.0.1:80", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for err := error(nil); err == nil; _, err = io.WriteString(w, part) {
				time.Sleep(time.Millisecond)
			}
		}))
		assert.NilError(t, err)
		defer func() {
			stop()
			time.Sleep(time.Second) // the handlers notice that their connections are closed
		}()
		transport := &http.Transport{DialContext: network.Host("process").Dial}
		client, closeClient, err := objapi.New("http://10.0.0.1:80", transport)
		assert.NilError(t, err)
		defer closeClient()
		before, peak := heapBytes(), uint64(0)
		var calls sync.WaitGroup
		for range 16 {
			calls.Go(func() {
				_, err := client.Get(t.Context(), "key")
				assert.Check(t, errors.Is(err, objapi.ErrUnavailable), "%v", err)
			})
		}
		for range 40 {
			time.Sleep(25 * time.Millisecond)
			peak = max(peak, heapBytes())
		}
		calls.Wait()
		t.Logf("%d MB held", (peak-before)>>20)
		assert.Assert(t, peak-before <= maxHeldBytes, "%d MB are held", (peak-before)>>20)
	})
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
