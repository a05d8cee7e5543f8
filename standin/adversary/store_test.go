package adversary

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/standin/answers"
)

// storeCalls is how many calls of a process get an answer without end, of each kind.
const storeCalls = 4

func TestStoreAnswersWithoutEnd(t *testing.T) {
	withMachine(t, "the store answers without end, in a head, in a body and in neither", func(m *machine) {
		for _, stream := range answers.Endless("Content-Type: application/json\r\nStore-Era: 1\r\n") {
			var sent, calls atomic.Int64
			write := stream.Handle(&sent)
			handler := answers.Handler(func(conn net.Conn, r *http.Request) {
				write(conn, r)
				calls.Add(1)
			})
			m.rawStore.Store(&handler)
			for deadline := time.Now().Add(patience); calls.Load() < storeCalls && time.Now().Before(deadline); {
				time.Sleep(50 * time.Millisecond)
			}
			m.rawStore.Store(nil)
			t.Logf("%s: %d calls, peak of resident memory: %d MB", stream.Name, calls.Load(), m.peakMegabytes())
			So(calls.Load(), ShouldBeGreaterThan, 0)
		}
	})
}
