package node

import (
	"cmp"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/rattanfield/rattanfield/adapters/httpproxy"
	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/adapters/settings"
	"github.com/rattanfield/rattanfield/adapters/telemetry"
	"github.com/rattanfield/rattanfield/app/calls"
	"github.com/rattanfield/rattanfield/app/follower"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/app/members"
	"github.com/rattanfield/rattanfield/app/moves"
	"github.com/rattanfield/rattanfield/core/membership"
)

// Program is the name of the process in logs, metrics and status.
const Program = "rattanfield-node"

// incarnation is the start time of this process in Unix nanoseconds.
type incarnation int64

func newIncarnation() incarnation { return incarnation(time.Now().UnixNano()) }

func newTopology(s *settings.Node) *settings.Topology {
	return settings.NewTopology(s.Site, s.FailureDomain)
}

func newClient(s *settings.Node, t *settings.Topology) *rpc.Client {
	return lifecycle.NewClient(s.Addresses.Peer, t)
}

func newLogger(s *settings.Node) log.Logger {
	return telemetry.NewLogger(os.Stderr, Program, s.ID, s.LogLevel)
}

func relays(site *settings.Site) []membership.Relay {
	out := make([]membership.Relay, 0, len(site.ControlHosts))
	for _, h := range site.ControlHosts {
		out = append(out, membership.Relay{
			ID: h.ID, Address: h.Address, FailureDomain: h.FailureDomain, Region: site.RegionOf(h.FailureDomain),
		})
	}
	return out
}

// followerRef holds the follower, which newFollower sets after newMembers has run. It
// breaks the cyclic dependency between the endpoint table, which reports the revision
// in force, and the follower, which finds its peers in the table.
type followerRef struct{ follower *follower.Follower }

func (r *followerRef) applied() uint64 {
	if r.follower == nil {
		return 0
	}
	return r.follower.Revision()
}

func newMembers(s *settings.Node, i incarnation, client *rpc.Client, logger log.Logger) (*members.Members, *followerRef) {
	r := &followerRef{}
	return members.New(members.Options{
		ID: s.ID, FailureDomain: s.FailureDomain, Region: s.Site.RegionOf(s.FailureDomain),
		GateAddress: s.Addresses.Gate, PeerAddress: s.Addresses.Peer, Incarnation: int64(i),
		Relays: relays(s.Site), Seeds: s.Seeds, Services: s.EntryServices, Applied: r.applied,
	}, client, logger), r
}

func newInterests(s *settings.Node, m *members.Members) *interests {
	return &interests{members: m, entryServices: s.EntryServices}
}

// brakeSink breaks the cyclic dependency between the follower, which receives the braked
// moves, and the recorder, which sends its reports through the follower.
type brakeSink struct{ recorder *moves.Recorder }

// SetBraked implements ports.BrakeSink.
func (b *brakeSink) SetBraked(ids []string) {
	if b.recorder != nil {
		b.recorder.SetBraked(ids)
	}
}

func newFollower(s *settings.Node, i incarnation, n *interests, r *followerRef, m *members.Members, client *rpc.Client, logger log.Logger) (*follower.Follower, *brakeSink) {
	b := &brakeSink{}
	f := follower.New(follower.Options{
		NodeID: s.ID, FailureDomain: s.FailureDomain, Region: s.Site.RegionOf(s.FailureDomain),
		Incarnation: int64(i), Interests: n.current(), Relays: relays(s.Site), OnApply: n.applied,
	}, follower.Dependencies{Client: client, Members: m, Sink: b, Logger: logger})
	n.onChange = f.SetInterests
	r.follower = f
	return f, b
}

func newRecorder(s *settings.Node, i incarnation, f *follower.Follower, b *brakeSink, logger log.Logger) *moves.Recorder {
	r := moves.NewRecorder(moves.Options{ID: s.ID, FailureDomain: s.FailureDomain, Incarnation: int64(i)}, f, f, logger)
	b.recorder = r
	return r
}

// remoteCallBytesPerSecond bounds the bytes of the calls that one node sends to another
// region when its own has no capacity. It is 1% of the 30 Mbit/s link between regions.
const remoteCallBytesPerSecond = 37_500

// defaultMemoryMB is the memory of a process whose settings state none. Of its 180 MB for connections, requests and responses, large
// bodies may have 162 MB, which is 19 of the largest size.
const defaultMemoryMB = 300

func newResources(s *settings.Node, set *metrics.Set) *lifecycle.Resources {
	r := lifecycle.NewResources(cmp.Or(s.MemoryMB, defaultMemoryMB)*1_000_000, 0)
	r.AddMetrics(set)
	return r
}

// newCalls returns the entry and the gate of the node. The gate publishes its endpoint
// through interests, which also subscribes to the configuration of the upstream's service.
func newCalls(s *settings.Node, i incarnation, t *settings.Topology, f *follower.Follower, n *interests, m *members.Members, r *moves.Recorder, client *rpc.Client, set *metrics.Set, resources *lifecycle.Resources) *calls.Calls {
	c := calls.New(calls.Options{
		NodeID: s.ID, Region: s.Site.RegionOf(s.FailureDomain), FailureDomain: s.FailureDomain,
		Incarnation: int64(i), Started: time.Unix(0, int64(i)), LocalIP: lifecycle.HostIP(s.Addresses.Gate), Seed: uint64(i),
		RemoteBytesPerSecond: remoteCallBytesPerSecond, FirstRevision: f.FirstRevision, LinkTo: t.LinkTo,
	}, calls.Dependencies{
		Configuration: f, Endpoints: m, Local: n, Outcomes: r, Versions: r, Suspects: m,
		HTTP: client.HTTP(), Metrics: set, Resources: httpproxy.NewResources(resources.Account, resources.LargestBody()),
	})
	m.SetSuspectReceiver(c.Gate())
	return c
}
