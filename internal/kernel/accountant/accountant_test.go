package accountant

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const megabyte = 1 << 20

// Without one sum, requests that are each within their limits exhaust the memory of the process together.
func TestShareIsNeverExceeded(t *testing.T) {
	Convey("Reservations of many goroutines stay within the share, and all is released", t, func() {
		a := New(80 * megabyte)
		limit := a.Usage(Bodies).Limit
		var all sync.WaitGroup
		for range 32 {
			all.Go(func() {
				for range 500 {
					if a.Reserve(Bodies, limit/16) {
						// A reservation that fails is in the sum for a moment.
						if a.Usage(Bodies).Used > limit+32*limit/16 {
							t.Error("share exceeded")
						}
						a.Release(Bodies, limit/16)
					}
				}
			})
		}
		all.Wait()
		So(a.Usage(Bodies).Used, ShouldEqual, 0)
	})
	Convey("The shares leave memory for garbage, and hold the largest input on the smallest VM", t, func() {
		sum := poolFraction
		for _, f := range fractions {
			sum += f
		}
		So(sum, ShouldBeLessThan, 0.85)
		for _, f := range poolFractions {
			So(f, ShouldBeLessThan, 1)
		}
		a := New(184 * megabyte)
		// A buffer of 8 MiB is held while its content is copied to one of 16 MiB.
		So(a.CanHold(Bodies, 24*megabyte), ShouldBeTrue)
		So(a.CanHold(Answers, 24*megabyte), ShouldBeTrue)
		So(a.CanHold(Messages, 17*megabyte), ShouldBeTrue)
		a.Take(Bodies, a.Usage(Bodies).Limit)
		So(a.Reserve(Messages, 17*megabyte), ShouldBeTrue)
	})
	Convey("A reservation that does not fit into the pool is not counted", t, func() {
		a := New(184 * megabyte)
		a.Take(Bodies, a.Usage(Bodies).Limit)
		So(a.Reserve(Answers, a.Usage(Answers).Limit), ShouldBeFalse)
		So(a.Usage(Answers).Used, ShouldEqual, 0)
		So(a.Pool().Used, ShouldEqual, a.Usage(Bodies).Used)
	})
}

// Replays the bodies of the first trial: 60 of 16 MiB that stop one byte short of their end, then an
// ordinary one.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	Convey("Bodies beyond the share are refused, an ordinary one is read", t, func() {
		a := New(184 * megabyte)
		held := make([]Reservation, 60)
		refused := 0
		for i := range held {
			held[i] = a.Open(nil)
			input := io.LimitReader(zeros{}, 16*megabyte-1)
			if _, err := held[i].ReadAll(input, BodySizes, 16*megabyte, 16*megabyte); err == ErrFull {
				refused++
				held[i].Release()
			}
		}
		So(refused, ShouldBeGreaterThanOrEqualTo, 56)
		So(a.Usage(Bodies).Refused, ShouldEqual, refused)
		ordinary := a.Open(nil)
		data, err := ordinary.ReadAll(bytes.NewReader([]byte("body")), BodySizes, 4, 16*megabyte)
		So(err, ShouldBeNil)
		So(string(data), ShouldEqual, "body")
		ordinary.Release()
		for i := range held {
			held[i].Release()
		}
		for _, p := range Purposes() {
			So(a.Usage(p).Used, ShouldEqual, 0)
		}
	})
}

type urgency bool

func (u urgency) IsUrgent() bool { return bool(u) }

// Many clients together must not take what urgent calls need.
func TestUrgentBodiesKeepReserve(t *testing.T) {
	Convey("While the shares of bodies are full, an urgent body is read and another is not", t, func() {
		a := New(184 * megabyte)
		a.Take(Bodies, a.Usage(Bodies).Limit)
		a.Take(SmallBodies, a.Usage(SmallBodies).Limit)
		for _, urgent := range []bool{false, true} {
			sizes, r := BodySizes, a.Open(nil)
			sizes.Urgency = urgency(urgent)
			_, err := r.ReadAll(bytes.NewReader(make([]byte, 100_000)), sizes, -1, megabyte)
			So(err == nil, ShouldEqual, urgent)
			r.Release()
			So(a.Usage(Urgent).Used, ShouldEqual, 0)
		}
		So(a.Usage(Bodies).Used, ShouldEqual, a.Usage(Bodies).Limit)
	})
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// The last byte of a chunked body may come with its end.
func TestInputIsReadWhole(t *testing.T) {
	Convey("Inputs of each length, with and without a declared length", t, func() {
		a := New(0)
		for _, n := range []int{0, 1, 10, SmallBytes - 1, SmallBytes, SmallBytes + 1, 300_000} {
			want := bytes.Repeat([]byte("x"), n)
			for _, declared := range []int64{-1, int64(n)} {
				r := a.Open(nil)
				got, err := r.ReadAll(iotest.DataErrReader(bytes.NewReader(want)), BodySizes, declared, 300_000)
				So(err, ShouldBeNil)
				So(bytes.Equal(got, want), ShouldBeTrue)
				r.Release()
			}
		}
		r := a.Open(nil)
		_, err := r.ReadAll(iotest.DataErrReader(bytes.NewReader(make([]byte, 11))), BodySizes, -1, 10)
		So(err, ShouldEqual, ErrTooLong)
		_, err = r.ReadAll(bytes.NewReader(make([]byte, 9)), BodySizes, 10, 10)
		So(err, ShouldEqual, io.ErrUnexpectedEOF)
	})
	Convey("A declared length reserves nothing", t, func() {
		a := New(184 * megabyte)
		r := a.Open(nil)
		_, _ = r.ReadAll(bytes.NewReader([]byte("x")), BodySizes, 16*megabyte, 16*megabyte)
		So(a.Usage(Bodies).Used, ShouldEqual, 0)
		So(a.Usage(SmallBodies).Used, ShouldEqual, SmallBytes)
	})
}

// A connection whose client drips bytes must not be preferred to one that transfers data.
func TestStalledProgress(t *testing.T) {
	begin := time.Unix(1000, 0)
	Convey("A transfer", t, func() {
		var p Progress
		p.Begin(begin)
		Convey("without data is stalled after a while", func() {
			_, stalled := p.Stalled(begin.Add(stallTime - 1))
			So(stalled, ShouldBeFalse)
			since, stalled := p.Stalled(begin.Add(stallTime))
			So(stalled, ShouldBeTrue)
			So(since, ShouldEqual, begin)
		})
		Convey("of a byte at a time is stalled since its begin", func() {
			now := begin
			for range 50 {
				now = now.Add(50 * time.Millisecond)
				p.Add(1, now)
			}
			since, stalled := p.Stalled(now)
			So(stalled, ShouldBeTrue)
			So(since, ShouldEqual, begin)
		})
		Convey("that goes on is not", func() {
			now := begin
			for range 50 {
				now = now.Add(50 * time.Millisecond)
				p.Add(1000, now)
				_, stalled := p.Stalled(now)
				So(stalled, ShouldBeFalse)
			}
		})
	})
}

// failingListener fails to accept a number of times, then returns connections.
type failingListener struct {
	failures int
	conns    chan net.Conn
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, io.ErrNoProgress
	}
	c, open := <-l.conns
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (*failingListener) Close() error   { return nil }
func (*failingListener) Addr() net.Addr { return nil }

// The accept loops ended at the first error, such as the lack of descriptors, and the node took no
// connection for the rest of its life.
func TestListenerSurvivesErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A listener that fails 20 times accepts afterwards, and ends when it is closed", t, func() {
			raw := &failingListener{failures: 20, conns: make(chan net.Conn, 1)}
			l := New(0).Listen(raw, "callers", 10, "")
			near, far := net.Pipe()
			raw.conns <- far
			c, err := l.Accept()
			So(err, ShouldBeNil)
			So(c.Close(), ShouldBeNil)
			So(near.Close(), ShouldBeNil)
			close(raw.conns)
			_, err = l.Accept()
			So(err, ShouldEqual, net.ErrClosed)
		})
	})
}

// Connections that send nothing must neither take the descriptors of the process nor keep others out.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Beyond the limit, the one without progress for the longest time makes place", t, func() {
			a := New(184 * megabyte)
			raw := &failingListener{conns: make(chan net.Conn, 1)}
			l := a.Listen(raw, "callers", 2, "no place")
			var accepted []*Conn
			var clients []net.Conn
			dial := func() {
				near, far := net.Pipe()
				clients = append(clients, near)
				raw.conns <- far
				c, err := l.AcceptConn()
				So(err, ShouldBeNil)
				accepted = append(accepted, c)
				time.Sleep(stallTime / 2)
			}
			dial()
			dial()
			// The first one waits for the node, the second for its client.
			accepted[0].AddBusy(1)
			time.Sleep(stallTime)
			dial()
			So(l.Open(), ShouldEqual, 2)
			So(a.Closed(), ShouldEqual, 1)
			_, err := accepted[1].Read(make([]byte, 1))
			So(err, ShouldEqual, io.ErrClosedPipe)
			for _, c := range append(accepted, accepted...) {
				_ = c.Close()
			}
			So(l.Open(), ShouldEqual, 0)
			So(a.Usage(Connections).Used, ShouldEqual, 0)
		})
	})
}

// Memory that a stalled connection holds is given to a request that needs it.
func TestStalledConnectionMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A share that a stalled connection fills", t, func() {
			a := New(184 * megabyte)
			raw := &failingListener{conns: make(chan net.Conn, 1)}
			_, far := net.Pipe()
			raw.conns <- far
			c, err := a.Listen(raw, "callers", 2, "").AcceptConn()
			So(err, ShouldBeNil)
			held := a.Open(c)
			So(held.Grow(Bodies, a.Usage(Bodies).Limit), ShouldBeTrue)
			go func() {
				// The goroutine that reads the connection releases what it holds.
				_, _ = c.Read(make([]byte, 1))
				held.Release()
			}()
			So(a.Obtain(Bodies, megabyte), ShouldBeFalse)
			time.Sleep(stallTime)
			So(a.Obtain(Bodies, megabyte), ShouldBeTrue)
			So(a.Closed(), ShouldEqual, 1)
		})
	})
}

func BenchmarkReserve(b *testing.B) {
	a := New(184 * megabyte)
	b.ReportAllocs()
	for b.Loop() {
		r := a.Open(nil)
		_ = r.Grow(Heads, 4096)
		r.Release()
	}
}

// Guards against callers whose connections take all memory for connections, so that heartbeats and
// readiness probes are refused and the node counts as gone.
func TestExemptListenerAdmitsBeyondTheShare(t *testing.T) {
	Convey("An exempt listener admits connections up to its limit, another one does not", t, func() {
		a := New(184 << 20)
		So(a.MaxConnections(0.5), ShouldBeBetween, 500, 1000)
		a.Take(Connections, a.Usage(Connections).Limit)
		admitted := func(l *Listener) int {
			count := 0
			for range 3 {
				near, far := net.Pipe()
				defer func() { _ = far.Close() }()
				if l.admit(near) != nil {
					count++
				}
			}
			return count
		}
		So(admitted(a.Listen(nil, "callers", 2, "")), ShouldEqual, 0)
		So(admitted(a.Listen(nil, "control", 2, "").Exempt()), ShouldEqual, 2)
	})
}
