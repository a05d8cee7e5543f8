package forwarder

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/encoder"
)

// fakeNode has a configuration and reports that it receives changes.
type fakeNode struct{}

func (fakeNode) ExchangeMember(m balancer.Member) balancer.Member { return m }
func (fakeNode) Members() []balancer.Member                       { return nil }
func (fakeNode) Version() int64                                   { return 7 }
func (fakeNode) Load() balancer.Load                              { return balancer.Load{} }
func (fakeNode) DrainingSince(string, int64) int64                { return 0 }

func (fakeNode) NextConfiguration(context.Context, int64) ConfigurationReply {
	return ConfigurationReply{Message: encoder.Message{Version: 7}, Subscribed: true}
}

// A node polls a relay by its address. If another process has taken over the address and
// replied as the relay, two nodes could poll each other, and neither would watch the
// store.
func TestConfigurationRequestForAFormerProcessGetsAnEmptyReply(t *testing.T) {
	const ownStart, formerStart = 20, 10
	r, err := NewReceiver(ownStart, nil, fakeNode{})
	if err != nil {
		t.Fatal(err)
	}
	request := func(start int64) ConfigurationReply {
		var reply ConfigurationReply
		args := &ConfigurationArgs{Start: start, Wait: time.Second}
		if err := (&methods{r}).Configuration(args, &reply); err != nil {
			t.Fatal(err)
		}
		return reply
	}
	Convey("Only the addressed process replies with its configuration", t, func() {
		So(request(ownStart).Version, ShouldEqual, 7)
		So(request(0).Version, ShouldEqual, 7)
		So(request(formerStart), ShouldResemble, ConfigurationReply{})
	})
}
