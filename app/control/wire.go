package control

import (
	"os"
	"time"

	"github.com/go-kit/log"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/adapters/settings"
	"github.com/rattanfield/rattanfield/adapters/telemetry"
	"github.com/rattanfield/rattanfield/app/consensus"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/app/moves"
	"github.com/rattanfield/rattanfield/app/relay"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Program is the name of the process in logs, metrics and status.
const Program = "rattanfield-control"

func newTopology(s *settings.Control) *settings.Topology {
	return settings.NewTopology(s.Site, s.FailureDomain)
}

func newClient(s *settings.Control, t *settings.Topology) *rpc.Client {
	return lifecycle.NewClient(s.Addresses.Peer, t)
}

func newLogger(s *settings.Control) log.Logger {
	return telemetry.NewLogger(os.Stderr, Program, s.ID, s.LogLevel)
}

func members(site *settings.Site) []*pb.Member {
	out := make([]*pb.Member, 0, len(site.ControlHosts))
	for _, h := range site.ControlHosts {
		out = append(out, &pb.Member{
			Id: h.ID, Address: h.Address, FailureDomain: h.FailureDomain,
			Region: site.RegionOf(h.FailureDomain), Voter: true,
		})
	}
	return out
}

func newHost(s *settings.Control, client *rpc.Client, logger log.Logger) (*consensus.Host, error) {
	return consensus.New(consensus.Options{ID: s.ID, Members: members(s.Site), DataDir: s.DataDirectory, KeepMembers: true}, client, logger)
}

func moveOptions(s *settings.Control, host *consensus.Host) moves.Options {
	return moves.Options{ID: s.ID, FailureDomain: s.FailureDomain, Incarnation: time.Now().UnixNano(), State: host, Risk: risk(s.Site)}
}

func risk(site *settings.Site) pb.RiskPreference {
	if site.Risk == settings.RiskPunctual {
		return pb.RiskPreference_RISK_PREFERENCE_PUNCTUAL
	}
	return pb.RiskPreference_RISK_PREFERENCE_CAUTIOUS
}

func newCollector(s *settings.Control, host *consensus.Host, client *rpc.Client, logger log.Logger) *moves.Collector {
	return moves.NewCollector(moveOptions(s, host), host, client, logger)
}

func newDecider(s *settings.Control, host *consensus.Host, c *moves.Collector, logger log.Logger) *moves.Decider {
	d := moves.NewDecider(moveOptions(s, host), host, host, host, c, logger)
	host.SetMoveWaitReader(d.WaitReason)
	return d
}

func newRelay(s *settings.Control, host *consensus.Host, c *moves.Collector, client *rpc.Client, logger log.Logger) *relay.Relay {
	options := relay.Options{
		ID: s.ID, FailureDomain: s.FailureDomain, Region: s.Site.RegionOf(s.FailureDomain),
		Peers:         members(s.Site),
		NoCompression: s.Site.Compression == settings.CompressionNone,
	}
	if s.Site.Urgency == settings.UrgencyBatched {
		options.Batch = s.Site.BatchInterval.Std()
	}
	r := relay.New(options, relay.Dependencies{
		State: host, Quorum: host, Client: client, Sink: c, Brakes: c, Logger: logger,
	})
	host.SetNodeStatusReader(r)
	return r
}
