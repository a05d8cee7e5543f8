// Package finder makes the nodes of a deployment known to each other. Each node
// reads the entries in the platform's store, writes its own under a lease and tells
// the others of itself. Nodes that start at the same moment find each other's entries
// when they read again, soon after the first time and at longer intervals later; a
// read may be some seconds old, which makes it cheap. What changes later is told from
// node to node.
package finder

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
)

const (
	// prefix is where the entries are kept.
	prefix = "tamarackscale/nodes/"
	// leaseTime is how long an entry outlives its node.
	leaseTime = 10 * time.Second
	// roundTime is the pause between rounds: renewal, and what was not told yet.
	roundTime = time.Second
	// retryTime is the pause between rounds while the store does not answer.
	retryTime = 700 * time.Millisecond
	// renewRounds and readRounds are how many rounds there are for one renewal
	// and for one reading of all entries.
	renewRounds = 3
	readRounds  = 6
	// earlyReads are the rounds after a registration in which the entries are read
	// besides, for those who register at the same time.
	earlyReads = 3
	// tellTimeout bounds one message to another node.
	tellTimeout = 2 * time.Second
	// firstReport is how long a new node waits for its upstream before it
	// registers without one.
	firstReport = 4 * time.Second
)

// Directory is the node's knowledge of the members.
type Directory interface {
	// Own returns the node's own word.
	Own() balancer.Member
	// Learn takes in a member's word and says whether it was news.
	Learn(m balancer.Member) bool
	Members() []balancer.Member
	Forget(node string)
}

// Messenger talks to other nodes.
type Messenger interface {
	Tell(ctx context.Context, address string, m balancer.Member) (balancer.Member, error)
	Members(ctx context.Context, address string) ([]balancer.Member, error)
}

// Observer is told of what a finder does.
type Observer interface {
	// Registered takes in that the node's entry was written, and how many members
	// it knows.
	Registered(members int)
	// RegistrationFailed and RegistrationRegained take in how the store answers.
	RegistrationFailed(err error)
	RegistrationRegained()
	MemberFound(m balancer.Member, source string)
	MemberLost(m balancer.Member)
	EntryUnusable(key string, err error)
}

// Config is what a finder needs.
type Config struct {
	Store     keeper.EventStore
	Directory Directory
	Messenger Messenger
	Observe   Observer
	// Seeds are addresses of nodes that may be up.
	Seeds []string
	// Known is closed once the node knows its upstream.
	Known <-chan struct{}
}

// Finder keeps the members up to date.
type Finder struct {
	config Config
	// kick starts a round at once.
	kick chan struct{}

	lease    keeper.LeaseID
	instance string
	failing  bool
	// early is how many of the early reads are left.
	early int

	mu sync.Mutex
	// told holds the newest word of ours that each process has.
	told map[process]uint64
	// telling holds the processes to which a message is on its way.
	telling map[process]bool
	found   chan struct{}
	once    sync.Once
}

// process is one life of a member; its successor knows nothing.
type process struct {
	node  string
	start int64
}

func processOf(m balancer.Member) process { return process{node: m.Node, start: m.Start} }

// New returns a finder that knows nobody.
func New(config Config) *Finder {
	return &Finder{
		config: config, kick: make(chan struct{}, 1), told: map[process]uint64{}, telling: map[process]bool{},
		found: make(chan struct{}),
	}
}

// Found is closed once the entries were read, or could not be.
func (f *Finder) Found() <-chan struct{} { return f.found }

// Changed makes the node's new word known at once.
func (f *Finder) Changed() {
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// Run registers the node and keeps it registered until the context ends.
func (f *Finder) Run(ctx context.Context) {
	if err := f.read(ctx); err != nil {
		f.lost(err)
	}
	if len(f.config.Directory.Members()) == 0 {
		f.askSeeds(ctx)
	}
	f.once.Do(func() { close(f.found) })
	select {
	case <-f.config.Known:
	case <-time.After(firstReport):
	case <-ctx.Done():
		return
	}
	for round := 0; ctx.Err() == nil; round++ {
		f.tellAll(ctx)
		pause := roundTime
		if err := f.round(ctx, round); err != nil {
			f.lost(err)
			f.askSeeds(ctx)
			pause, round = retryTime, -1
		} else if f.failing {
			f.failing = false
			f.config.Observe.RegistrationRegained()
		}
		f.tellAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-f.kick:
		case <-time.After(pause):
		}
	}
}

// lost tells of the first failure in a row.
func (f *Finder) lost(err error) {
	if !f.failing {
		f.failing = true
		f.config.Observe.RegistrationFailed(err)
	}
}

// round keeps the entry in the store and reads those of the others.
func (f *Finder) round(ctx context.Context, round int) error {
	if round%renewRounds == 0 && f.lease != 0 {
		if err := f.renew(ctx); err != nil {
			return err
		}
	}
	own := f.config.Directory.Own()
	if f.lease == 0 || f.instance != own.Instance {
		if err := f.register(ctx, own); err != nil {
			return err
		}
		f.config.Observe.Registered(len(f.config.Directory.Members()))
		f.early = earlyReads
		return nil
	}
	if f.early > 0 || round%readRounds == 0 {
		f.early = max(0, f.early-1)
		return f.read(ctx)
	}
	return nil
}

// renew keeps the lease. One that has ended is forgotten, without an error.
func (f *Finder) renew(ctx context.Context) error {
	err := f.config.Store.Renew(ctx, f.lease)
	var gone *keeper.NotFoundError
	if errors.As(err, &gone) {
		f.lease = 0
		return nil
	}
	return err
}

// register writes the node's entry under a lease, a new one if there is none.
func (f *Finder) register(ctx context.Context, own balancer.Member) error {
	if f.lease == 0 {
		lease, _, err := f.config.Store.Lease(ctx, leaseTime)
		if err != nil {
			return err
		}
		f.lease = lease
	}
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	_, err = f.config.Store.Commit(ctx, keeper.Transaction{
		Writes: []keeper.Write{{Key: prefix + own.Node, Value: value, Lease: f.lease}},
	})
	var gone *keeper.NotFoundError
	if errors.As(err, &gone) {
		f.lease = 0
	}
	if err != nil {
		return err
	}
	f.instance = own.Instance
	return nil
}

// read takes in the entries of the others.
func (f *Finder) read(ctx context.Context) error {
	snapshot, err := f.config.Store.Range(ctx, prefix, keeper.Stale)
	if err != nil {
		return err
	}
	listed := map[string]bool{}
	for _, item := range snapshot.Items {
		var m balancer.Member
		if err := json.Unmarshal(item.Value, &m); err != nil || m.Node == "" || m.Address == "" {
			f.config.Observe.EntryUnusable(item.Key, err)
			continue
		}
		listed[m.Node] = true
		f.learn(m, "store")
	}
	f.forgetUnlisted(ctx, listed)
	return nil
}

func (f *Finder) learn(m balancer.Member, source string) {
	if m.Node == f.config.Directory.Own().Node {
		return
	}
	if f.config.Directory.Learn(m) {
		f.config.Observe.MemberFound(m, source)
	}
}

// forgetUnlisted asks the members that have no entry whether they live, and
// forgets those that do not answer.
func (f *Finder) forgetUnlisted(ctx context.Context, listed map[string]bool) {
	own := f.config.Directory.Own()
	for _, m := range f.config.Directory.Members() {
		if listed[m.Node] || m.Node == own.Node {
			continue
		}
		go func() {
			if f.tell(ctx, m, own) {
				return
			}
			f.config.Directory.Forget(m.Node)
			f.config.Observe.MemberLost(m)
		}()
	}
}

// tellAll tells the own word to every member that does not have it yet.
func (f *Finder) tellAll(ctx context.Context) {
	own := f.config.Directory.Own()
	for _, m := range f.config.Directory.Members() {
		if m.Node == own.Node || !f.begin(processOf(m), own.Sequence) {
			continue
		}
		go func() {
			f.tell(ctx, m, own)
			f.mu.Lock()
			delete(f.telling, processOf(m))
			f.mu.Unlock()
		}()
	}
}

// begin says whether a message to a member is due and none is on its way.
func (f *Finder) begin(to process, sequence uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.telling[to] || f.told[to] >= sequence {
		return false
	}
	f.telling[to] = true
	return true
}

func (f *Finder) tell(ctx context.Context, m, own balancer.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	answer, err := f.config.Messenger.Tell(ctx, m.Address, own)
	if err != nil {
		return false
	}
	f.Answered(answer, own)
	f.learn(answer, "peer")
	return true
}

// Answered takes in that a member has got the node's own word.
func (f *Finder) Answered(m, own balancer.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told[processOf(m)] = max(f.told[processOf(m)], own.Sequence)
}

// askSeeds learns the members from nodes that may be up, while the store is away.
func (f *Finder) askSeeds(ctx context.Context) {
	for _, seed := range f.config.Seeds {
		bounded, cancel := context.WithTimeout(ctx, tellTimeout)
		members, err := f.config.Messenger.Members(bounded, seed)
		cancel()
		if err != nil {
			continue
		}
		for _, m := range members {
			f.learn(m, "seed")
		}
		return
	}
}
