package moves

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/core/rollout"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
	"github.com/rattanfield/rattanfield/ports"
)

// relayPrefix marks the sender of a merged report. Node ids contain no slash.
const relayPrefix = "relay/"

// A move without any report for this long is forgotten when no StateReader says that it runs.
const forgetAfter = 15 * time.Minute

// forwardTimeout bounds a report to the leader; the next one replaces it.
const forwardTimeout = 2 * time.Second

// Collector merges the reports of nodes on a control host and forwards them to
// the leader. On the leader it also keeps the merged reports of all relays.
type Collector struct {
	options    Options
	leadership ports.Leadership
	client     *rpc.Client
	logger     log.Logger

	mu       sync.Mutex
	merger   *rollout.Merger
	ledgers  map[string]*rollout.MoveCounts
	breakers map[breakerKey]*rollout.Breaker
	heard    map[string]time.Time // by move
	sequence uint64
}

type breakerKey struct{ move, domain string }

var (
	_ ports.ReportSink  = (*Collector)(nil)
	_ ports.BrakeReader = (*Collector)(nil)
)

// NewCollector returns a Collector; Run forwards its reports.
func NewCollector(options Options, leadership ports.Leadership, client *rpc.Client, logger log.Logger) *Collector {
	return &Collector{
		options: options.withDefaults(), leadership: leadership, client: client, logger: logger,
		merger: rollout.NewMerger(), ledgers: make(map[string]*rollout.MoveCounts),
		breakers: make(map[breakerKey]*rollout.Breaker), heard: make(map[string]time.Time),
	}
}

// TakeReports takes reports of nodes and, on the leader, of other relays.
func (c *Collector) TakeReports(reports []*pb.OutcomeReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	for _, r := range reports {
		c.heard[r.GetMoveId()] = now
		if strings.HasPrefix(r.GetNodeId(), relayPrefix) {
			c.ledger(r.GetMoveId()).Add(r, now)
		} else {
			c.merger.Add(r, now)
		}
	}
}

func (c *Collector) ledger(moveID string) *rollout.MoveCounts {
	l := c.ledgers[moveID]
	if l == nil {
		l = rollout.NewMoveCounts()
		c.ledgers[moveID] = l
	}
	return l
}

// BrakedMoves lists the moves that are braked in a failure domain.
func (c *Collector) BrakedMoves(failureDomain string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id := range c.heard {
		b := c.breakers[breakerKey{id, failureDomain}]
		if (b != nil && b.Open()) || c.merger.Braked(id, failureDomain) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Run merges and forwards once per interval until the context ends.
func (c *Collector) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if reports := c.collect(); len(reports) > 0 {
				c.forward(ctx, reports)
			}
		}
	}
}

// collect moves the circuit breakers and returns the merged reports; they are
// also put into the own ledger, which counts when this host leads.
func (c *Collector) collect() []*pb.OutcomeReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	running := c.retain(now)
	c.sequence++
	var out []*pb.OutcomeReport
	for id := range c.heard {
		reports := c.merger.Reports(id)
		if running != nil && !slices.ContainsFunc(reports, c.isOwnDomain) {
			reports = append(reports, &pb.OutcomeReport{MoveId: id, FailureDomain: c.options.FailureDomain})
		}
		for _, r := range reports {
			r.Braked = c.observe(id, r.GetFailureDomain(), running[id], now) || r.GetBraked()
			r.NodeId, r.Incarnation, r.Sequence = relayPrefix+c.options.ID, c.options.Incarnation, c.sequence
			r.AtUnixMs = now.UnixMilli()
			c.ledger(id).Add(r, now)
		}
		out = append(out, reports...)
	}
	return out
}

func (c *Collector) isOwnDomain(r *pb.OutcomeReport) bool {
	return r.GetFailureDomain() == c.options.FailureDomain
}

// retain forgets ended moves and returns the running ones; nil without a StateReader.
func (c *Collector) retain(now time.Time) map[string]*pb.Move {
	var running map[string]*pb.Move
	if c.options.State != nil {
		running = make(map[string]*pb.Move)
		for _, m := range c.options.State.State().Moves {
			if rollout.Running(m.GetPhase()) {
				running[m.GetMoveId()] = m
				c.heard[m.GetMoveId()] = now
			}
		}
	}
	keep := func(id string) bool {
		// Nodes can learn of a move before this host does, so silence decides.
		return running[id] != nil || now.Sub(c.heard[id]) < forgetAfter
	}
	for id := range c.heard {
		if !keep(id) {
			delete(c.heard, id)
			delete(c.ledgers, id)
		}
	}
	for key := range c.breakers {
		if !keep(key.move) {
			delete(c.breakers, key)
		}
	}
	c.merger.Retain(keep)
	return running
}

// observe moves the circuit breaker of a failure domain.
func (c *Collector) observe(id, domain string, m *pb.Move, now time.Time) bool {
	key := breakerKey{id, domain}
	b := c.breakers[key]
	if b == nil {
		b = rollout.NewBreaker(domain)
		c.breakers[key] = b
	}
	wasOpen := b.Open()
	b.Observe(c.merger.Cells(id, domain), shareOf(m, domain), now)
	if b.Open() && !wasOpen {
		_ = c.logger.Log("msg", "circuit breaker opened", "move", id, "failure_domain", domain)
	}
	return b.Open()
}

func shareOf(m *pb.Move, domain string) uint32 {
	for _, d := range m.GetDomains() {
		if d.GetFailureDomain() == domain {
			return d.GetNewPermille()
		}
	}
	return 0
}

// forward sends the merged reports to the leader. A lost report needs no resend:
// the next one holds its counts.
func (c *Collector) forward(ctx context.Context, reports []*pb.OutcomeReport) {
	id, address := c.leadership.Leader()
	if id == c.options.ID || address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	client := rattanfieldv1connect.NewDistributionServiceClient(c.client.HTTP(), rpc.URL(address))
	if _, err := client.Report(ctx, connect.NewRequest(&pb.ReportRequest{Reports: reports})); err != nil {
		_ = c.logger.Log("msg", "reports not forwarded", "leader", id, "err", err)
	}
}

// evidence of a move, for the Decider.
func (c *Collector) evidence(moveID string) *rollout.Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.ledgers[moveID]; l != nil {
		return l.Evidence()
	}
	return &rollout.Evidence{Domains: make(map[string]rollout.DomainStatus)}
}

// reportsOwnDomain tells whether each control host speaks for its failure domain.
func (c *Collector) reportsOwnDomain() bool { return c.options.State != nil }
