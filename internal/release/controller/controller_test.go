package controller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/release/assigner"
	"github.com/tamarackscale/tamarackscale/internal/release/judger"
	"github.com/tamarackscale/tamarackscale/internal/release/stepper"
	"github.com/tamarackscale/tamarackscale/platform/connector"
	"github.com/tamarackscale/tamarackscale/standin/metastore"
)

// handlerTransport answers requests by a handler without a connection.
type handlerTransport struct{ http.Handler }

// RoundTrip implements http.RoundTripper.
func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil {
		r.Body = http.NoBody
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

// silent is an Observer that notes nothing.
type silent struct{}

func (silent) OrderSeen(stepper.Order)                       {}
func (silent) OrderUnusable(string, error)                   {}
func (silent) Controls(bool)                                 {}
func (silent) Stepped(stepper.Order, stepper.Step, int, int) {}
func (silent) Judged(stepper.Order, judger.Evidence)         {}
func (silent) Recorded(stepper.Status)                       {}

// newController returns a controller at a store, with one node that follows its plans. An order's value is
// the version, a status's the version and the state.
func newController(store *metastore.Store) *Controller {
	client := connector.New(connector.Config{
		Address: "10.0.0.1:80", Timeout: time.Second, Observe: func(string, string) {}, EraBegan: func(keeper.Era, keeper.Era) {},
	}, handlerTransport{store.Handler()})
	a := assigner.New(1)
	return New(Config{
		Store: client, Node: "n", Exposure: 0.1, OrderPrefix: "orders/", StatusPrefix: "statuses/", Observe: silent{}, Heard: a.Plan,
		DecodeOrder: func(key string, value []byte) (stepper.Order, error) {
			return stepper.Order{Service: strings.TrimPrefix(key, "orders/"), Target: string(value), Limit: 16 * time.Second}, nil
		},
		EncodeStatus: func(s stepper.Status) ([]byte, error) { return []byte(s.Target + " " + string(s.State)), nil },
		DecodeStatus: func(value []byte) (stepper.Status, error) {
			target, state, _ := strings.Cut(string(value), " ")
			return stepper.Status{Target: target, State: stepper.State(state)}, nil
		},
		Members: func() []balancer.Member { return []balancer.Member{{Node: "n", Start: 1}} },
		Exchange: func(_ context.Context, _ balancer.Member, args *assigner.ExchangeArgs) (assigner.ExchangeReply, bool, error) {
			var reply assigner.ExchangeReply
			for _, plan := range args.Plans {
				a.Apply(plan, time.Now())
				if report, known := a.Report(plan.Service, time.Now()); known {
					reply.Reports = append(reply.Reports, report)
				}
			}
			return reply, false, nil
		},
	})
}

// A controller follows a relay when one appears, and is told of no order any more. A second order would
// then wait for the end of the first.
func TestControllerReadsOrdersItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An order that only the store knows replaces the first", t, func() {
			store := metastore.New()
			revision := store.Put("orders/s", []byte("v2"))
			c := newController(store)
			ctx, cancel := context.WithCancel(context.Background())
			go c.Run(ctx)
			c.Reset([]keeper.Item{{Key: "orders/s", Value: []byte("v2"), Revision: keeper.Revision(revision)}})
			time.Sleep(2 * time.Second)
			So(string(store.Value("statuses/s")), ShouldEqual, "v2 running")
			w := httptest.NewRecorder()
			c.Handler(func() []assigner.Plan { return []assigner.Plan{{Service: "s", Target: "v2"}} }).ServeHTTP(w, nil)
			So(w.Body.String(), ShouldContainSubstring, "no upstream of the version takes calls")
			c.Ended()
			store.Put("orders/s", []byte("v3"))
			time.Sleep(2 * time.Second)
			So(string(store.Value("statuses/s")), ShouldEqual, "v3 running")
			time.Sleep(16 * time.Second)
			So(string(store.Value("statuses/s")), ShouldEqual, "v3 rolled_back")
			cancel()
			time.Sleep(time.Minute)
		})
	})
}

// The platform may read each write of a status as a change.
func TestStatusIsWrittenOnceForEachState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("With two controllers, of which the first ends", t, func() {
			store := metastore.New()
			item := keeper.Item{Key: "orders/s", Value: []byte("v2")}
			item.Revision = keeper.Revision(store.Put(item.Key, item.Value))
			first, second := newController(store), newController(store)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			firstCtx, cancelFirst := context.WithCancel(ctx)
			go first.Run(firstCtx)
			first.Reset([]keeper.Item{item})
			time.Sleep(2 * time.Second)
			cancelFirst()
			go second.Run(ctx)
			second.Reset([]keeper.Item{item})
			time.Sleep(20 * time.Second)
			So(string(store.Value("statuses/s")), ShouldEqual, "v2 rolled_back")
			So(store.Counts()["commit"], ShouldBeLessThanOrEqualTo, 4)
			cancel()
			time.Sleep(time.Minute)
		})
	})
}
