package granter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/tinylib/msgp/msgp"

	"github.com/tamarackscale/tamarackscale/internal/account/rationer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
)

// cluster connects granters without a network.
type cluster struct {
	granters []*Granter
	members  []balancer.Member
	limit    rationer.Limit
	// fault returns the error of a message to an address; nil if it arrives.
	fault func(ctx context.Context, address string) error
}

type ignoreTokens struct{}

func (ignoreTokens) Tokens(rationer.Stats) {}

func newCluster(nodes int, limit rationer.Limit) *cluster {
	c := &cluster{limit: limit, fault: func(context.Context, string) error { return nil }}
	for i := range nodes {
		name := fmt.Sprintf("vm-%d", i)
		c.members = append(c.members, balancer.Member{Node: name, Address: name})
		c.granters = append(c.granters, New(Config{
			Node: name, Bounds: rationer.Bounds{Window: 5 * time.Second},
			Members: func() []balancer.Member { return c.members },
			Limit:   func(string) (rationer.Limit, bool) { return c.limit, true },
			Call:    c.call, Isolated: func() bool { return false }, Observe: ignoreTokens{},
		}))
	}
	return c
}

func (c *cluster) call(ctx context.Context, address, method string, args, reply any) error {
	if err := c.fault(ctx, address); err != nil {
		return err
	}
	time.Sleep(time.Millisecond)
	for i, m := range c.members {
		if m.Address != address {
			continue
		}
		service, _ := c.granters[i].Methods().(*methods)
		switch a := args.(type) {
		case *TakeArgs:
			r, _ := reply.(*TakeReply)
			return service.Take(a, r)
		case *ReleaseArgs:
			r, _ := reply.(*ReleaseReply)
			return service.Release(a, r)
		}
	}
	return errors.New("no such node: " + method)
}

// owner returns the position of the owner of an account.
func (c *cluster) owner(account string) int {
	var names []string
	for _, m := range c.members {
		names = append(names, m.Node)
	}
	return rationer.Owner(account, names)
}

// tokenModel is the sequential specification of tokens that do not refill: a call is admitted only if
// there is one. A refusal is allowed at any time, since a token may be at another node.
func tokenModel(tokens int) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return tokens },
		Step: func(state, input, output any) (bool, any) {
			left, _ := state.(int)
			switch taken, _ := output.(bool); {
			case input == "return":
				return true, left + 1
			case taken:
				return left > 0, left - 1
			default:
				return true, left
			}
		},
	}
}

// Guards against tokens that are granted twice when nodes take and return them at the same time, also
// if messages are slow.
func TestConcurrentHistoriesOfTokensAreLinearizable(t *testing.T) {
	const burst, clients = 6, 9
	for _, delay := range []time.Duration{0, 20 * time.Millisecond, 140 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			// The bucket fills once and then hardly at all.
			c := newCluster(3, rationer.Limit{Rate: 1.0 / 3600, Burst: burst})
			c.fault = func(context.Context, string) error {
				time.Sleep(delay)
				return nil
			}
			time.Sleep((burst + 1) * time.Hour)
			var mu sync.Mutex
			var operations []porcupine.Operation
			record := func(client int, input string, operation func() bool) bool {
				called := time.Now()
				output := operation()
				mu.Lock()
				defer mu.Unlock()
				operations = append(operations, porcupine.Operation{
					ClientId: client, Input: input, Output: output, Call: called.UnixNano(), Return: time.Now().UnixNano(),
				})
				return output
			}
			var group sync.WaitGroup
			admitted := 0
			for client := range clients {
				g := c.granters[client%len(c.granters)]
				group.Go(func() {
					for i := range 5 {
						taken := record(client, "take", func() bool {
							return g.Take(context.Background(), "a", c.limit, 10*time.Second).Admitted
						})
						time.Sleep(time.Duration(client+1) * 3 * time.Millisecond)
						if taken && i%2 == 0 {
							record(client, "return", func() bool { g.Return("a"); return true })
						}
						mu.Lock()
						if taken {
							admitted++
						}
						mu.Unlock()
					}
				})
			}
			group.Wait()
			time.Sleep(time.Minute)
			Convey("No more calls are admitted at any time than there are tokens", t, func() {
				So(admitted, ShouldBeGreaterThanOrEqualTo, burst)
				So(porcupine.CheckOperations(tokenModel(burst), operations), ShouldBeTrue)
			})
		})
	}
}

// Guards against calls that wait for an owner which does not reply.
func TestCallWaitsShortTimeForToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, rationer.Limit{Rate: 100, Burst: 10})
		c.fault = func(ctx context.Context, _ string) error {
			<-ctx.Done()
			return ctx.Err()
		}
		g := c.granters[1-c.owner("a")]
		took := func(ctx context.Context, remaining time.Duration) time.Duration {
			begun := time.Now()
			g.Take(ctx, "a", c.limit, remaining)
			return time.Since(begun)
		}
		short := took(context.Background(), 200*time.Millisecond)
		time.Sleep(5 * time.Second)
		gone, cancel := context.WithCancel(context.Background())
		cancel()
		left := took(gone, 10*time.Second)
		time.Sleep(5 * time.Second)
		long := took(context.Background(), 10*time.Second)
		next := took(context.Background(), 10*time.Second)
		time.Sleep(time.Minute)
		Convey("It waits a quarter of its remaining time, and no call waits while the owner is known to be lost", t, func() {
			So(short, ShouldEqual, 50*time.Millisecond)
			So(left, ShouldEqual, 0)
			So(long, ShouldBeLessThanOrEqualTo, rationer.MaxWait)
			So(next, ShouldEqual, 0)
		})
	})
}

// Guards against accounts whose owner is a node of the previous release, which has no quotas.
func TestNodeWithoutServiceOwnsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3, rationer.Limit{Rate: 100, Burst: 10})
		time.Sleep(time.Second)
		old := c.owner("a")
		c.fault = func(_ context.Context, address string) error {
			if address == c.members[old].Address {
				return rpc.ServerError("rpc: can't find service Quota.Take")
			}
			return nil
		}
		refused := 0
		for range 50 {
			if !c.granters[(old+1)%3].Take(context.Background(), "a", c.limit, time.Second).Admitted {
				refused++
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		Convey("Another node owns the account soon", t, func() {
			So(refused, ShouldBeLessThan, 10)
		})
	})
}

// Guards against messages that outgrow what is planned for one call of a small account.
func TestMessagesAreShort(t *testing.T) {
	Convey("An exchange has less than 200 bytes, net/rpc's headers of some 30 bytes each included", t, func() {
		var b bytes.Buffer
		w := msgp.NewWriter(&b)
		args := TakeArgs{Node: strings.Repeat("n", 24), Account: strings.Repeat("a", 24), Need: 3, Expect: 100, Returned: 2}
		reply := TakeReply{Tokens: 100, Wait: time.Second, Fallback: 12.5, Over: true}
		So(args.EncodeMsg(w), ShouldBeNil)
		So(reply.EncodeMsg(w), ShouldBeNil)
		So(w.Flush(), ShouldBeNil)
		So(b.Len(), ShouldBeLessThan, 140)
	})
}

func BenchmarkTakeAsOwner(b *testing.B) {
	c := newCluster(1, rationer.Limit{Rate: 1e9, Burst: 1e9})
	b.ReportAllocs()
	for b.Loop() {
		c.granters[0].Take(context.Background(), "a", c.limit, time.Second)
	}
}

// BenchmarkGrant measures the owner's part of an exchange for an account with calls at all of 710
// nodes.
func BenchmarkGrant(b *testing.B) {
	c := newCluster(710, rationer.Limit{Rate: 1e9, Burst: 1e9})
	service := &methods{c.granters[c.owner("a")]}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		if err := service.Take(&TakeArgs{Node: c.members[i%710].Node, Account: "a", Need: 1}, &TakeReply{}); err != nil {
			b.Fatal(err)
		}
	}
}
