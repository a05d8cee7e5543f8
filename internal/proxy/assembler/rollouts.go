package assembler

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/observe/reporter"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/subscriber"
	"github.com/tamarackscale/tamarackscale/internal/release/assigner"
	"github.com/tamarackscale/tamarackscale/internal/release/controller"
	"github.com/tamarackscale/tamarackscale/internal/settings/reader"
	"github.com/tamarackscale/tamarackscale/platform"
)

// rolloutService is the name of the RPC service for other nodes that roll versions out.
const rolloutService = "Rollout"

// rollouts holds what a node needs to roll versions of a service out.
type rollouts struct {
	assigner   *assigner.Assigner
	controller *controller.Controller
}

// buildRollouts builds what the node needs to roll versions out, except the controller. It returns an
// error if the RPC methods for other nodes can't be registered.
func (p *Proxy) buildRollouts() error {
	p.rollouts = &rollouts{assigner: assigner.New(p.forwarder.Sender())}
	p.messenger = versionedMessenger{p.forwarder}
	p.telemetry.RegisterRollouts(p.rollouts.assigner.Plans)
	return errors.Wrap(p.receiver.Register(rolloutService, &rolloutMethods{p}), "register RPC methods of rollouts")
}

// buildController builds the controller and returns what the subscriber passes to it.
func (p *Proxy) buildController(s *reader.Settings, store keeper.EventStore) subscriber.Orders {
	if p.rollouts == nil {
		return subscriber.Orders{}
	}
	c := controller.New(controller.Config{
		Store: store, Node: fmt.Sprintf("%s/%d", s.Node.ID, p.incarnation), Exposure: s.Rollouts.ExposureShare,
		OrderPrefix: platform.OrderPrefix, StatusPrefix: platform.StatusPrefix,
		DecodeOrder: platform.DecodeOrder, EncodeStatus: platform.EncodeStatus, DecodeStatus: platform.DecodeStatus,
		Members: p.Members, Exchange: p.exchangePlans, Heard: p.rollouts.assigner.Plan, Observe: p.telemetry,
	})
	p.rollouts.controller = c
	return subscriber.Orders{
		WatchPrefix: platform.OperatorPrefix, Prefix: platform.OrderPrefix, Reset: c.Reset, Changed: c.Changed, Ended: c.Ended,
	}
}

// exchangePlans implements controller.Config.Exchange.
func (p *Proxy) exchangePlans(ctx context.Context, m balancer.Member, args *assigner.ExchangeArgs) (assigner.ExchangeReply, bool, error) {
	if m.Node == p.settings.Load().Node.ID {
		return p.rollouts.exchange(args), false, nil
	}
	reply := &assigner.ExchangeReply{}
	if err := p.forwarder.CallService(ctx, m.Address, rolloutService+".Exchange", args, reply); err != nil {
		// After an error, the reply may still be written to.
		return assigner.ExchangeReply{}, forwarder.IsServerError(err), err
	}
	return *reply, false, nil
}

// exchange follows the plans and returns a report for each of them.
func (r *rollouts) exchange(args *assigner.ExchangeArgs) assigner.ExchangeReply {
	var reply assigner.ExchangeReply
	now := time.Now()
	for _, plan := range args.Plans {
		r.assigner.Apply(plan, now)
		if report, known := r.assigner.Report(plan.Service, now); known {
			reply.Reports = append(reply.Reports, report)
		}
	}
	return reply
}

// countedVersions counts the attempts by version.
type countedVersions struct {
	*assigner.Assigner
	telemetry *reporter.Reporter
}

// Ended implements dispatcher.Versions.
func (c countedVersions) Ended(m balancer.Member, o balancer.Outcome, now time.Time) {
	c.Assigner.Ended(m, o, now)
	c.telemetry.VersionEnded(m, o)
}

// versionedMessenger exchanges member records that have versions. A node that does not roll versions
// out, such as one of an earlier release, gets and sends records without.
type versionedMessenger struct{ *forwarder.Forwarder }

// Announce implements finder.Messenger.
func (v versionedMessenger) Announce(ctx context.Context, address string, m balancer.Member) (balancer.Member, error) {
	own, reply := balancer.WithVersion(m), &balancer.VersionedMember{}
	err := v.CallService(ctx, address, rolloutService+".Tell", &own, reply)
	switch {
	case forwarder.IsServerError(err):
		return v.Forwarder.Announce(ctx, address, m)
	case err != nil:
		return balancer.Member{}, err
	}
	return reply.Unpack(), nil
}

// Members implements finder.Messenger.
func (v versionedMessenger) Members(ctx context.Context, address string) ([]balancer.Member, error) {
	list := &balancer.VersionedMembers{}
	err := v.CallService(ctx, address, rolloutService+".Members", &forwarder.Empty{}, list)
	switch {
	case forwarder.IsServerError(err):
		return v.Forwarder.Members(ctx, address)
	case err != nil:
		return nil, err
	}
	members := make([]balancer.Member, 0, len(*list))
	for _, m := range *list {
		members = append(members, m.Unpack())
	}
	return members, nil
}

// rolloutMethods is the type whose methods net/rpc exports as rolloutService.
type rolloutMethods struct{ p *Proxy }

// Tell merges a member's record and replies with the node's own record.
func (r *rolloutMethods) Tell(member *balancer.VersionedMember, own *balancer.VersionedMember) error {
	*own = balancer.WithVersion(r.p.ExchangeMember(member.Unpack()))
	return nil
}

// Members replies with all member records of the node.
func (r *rolloutMethods) Members(_ *forwarder.Empty, members *balancer.VersionedMembers) error {
	for _, m := range r.p.Members() {
		*members = append(*members, balancer.WithVersion(m))
	}
	return nil
}

// Exchange follows the plans of the rollout controller and replies what the node has counted.
func (r *rolloutMethods) Exchange(args *assigner.ExchangeArgs, reply *assigner.ExchangeReply) error {
	*reply = r.p.rollouts.exchange(args)
	return nil
}
