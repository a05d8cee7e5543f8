package assembler

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
)

// rolloutService is the name of the RPC service for other nodes that roll versions out.
const rolloutService = "Rollout"

// rollouts holds what a node needs to roll versions of a service out.
type rollouts struct{}

// buildRollouts builds what the node needs to roll versions out. It returns an error if the RPC
// methods for other nodes can't be registered.
func (p *Proxy) buildRollouts() error {
	p.rollouts = &rollouts{}
	p.messenger = versionedMessenger{p.forwarder}
	return errors.Wrap(p.receiver.Register(rolloutService, &rolloutMethods{p}), "register RPC methods of rollouts")
}

// restrict implements dispatcher.Config.Restrict. Without a plan, a call goes to the established
// version only.
func (r *rollouts) restrict(b *balancer.Balancer, info *balancer.PickInfo, _ time.Time) {
	info.Versions = balancer.VersionFilter{Version: b.EstablishedVersion(info.Service)}
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
