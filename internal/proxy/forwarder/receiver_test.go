package forwarder

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/encoder"
)

// neighbour has a configuration and says that it hears of changes.
type neighbour struct{}

func (neighbour) Heard(m balancer.Member) balancer.Member { return m }
func (neighbour) Members() []balancer.Member              { return nil }
func (neighbour) Version() int64                          { return 7 }
func (neighbour) Load() balancer.Load                     { return balancer.Load{} }
func (neighbour) LeftAt(string, int64) int64              { return 0 }

func (neighbour) NextConfiguration(context.Context, int64) ConfigurationReply {
	return ConfigurationReply{Message: encoder.Message{Version: 7}, Following: true}
}

func TestProcessAtAnotherNodesAddressIsNoRelay(t *testing.T) {
	const own, former = 20, 10
	r, err := NewReceiver(own, nil, neighbour{})
	if err != nil {
		t.Fatal(err)
	}
	ask := func(start int64) ConfigurationReply {
		var reply ConfigurationReply
		args := &ConfigurationArgs{Start: start, Wait: time.Second}
		if err := (&methods{r}).Configuration(args, &reply); err != nil {
			t.Fatal(err)
		}
		return reply
	}
	Convey("A question that was meant for the former process gets nothing", t, func() {
		So(ask(own).Version, ShouldEqual, 7)
		So(ask(0).Version, ShouldEqual, 7)
		So(ask(former), ShouldResemble, ConfigurationReply{})
	})
}
