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
	"github.com/rattanfield/rattanfield/core/move"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
	"github.com/rattanfield/rattanfield/ports"
)

// relayPrefix is put before the id of a control host to form the sender of a merged report: each
// control host contains a relay. Node ids contain no slash.
const relayPrefix = "relay/"

// idleTimeout is the time without any report after which a move is dropped, unless a
// StateReader lists it as running.
const idleTimeout = 15 * time.Minute

// forwardTimeout bounds one report to the leader. A lost report is replaced by the next one.
const forwardTimeout = 2 * time.Second

// Collector merges the reports that nodes send to the relay of this control host, and forwards
// the merged reports to the leader. On the leader it also holds the merged reports of
// all relays.
type Collector struct {
	options    Options
	leadership ports.Leadership
	client     *rpc.Client
	logger     log.Logger

	mu       sync.Mutex
	merger   *move.Merger
	counts   map[string]*move.MoveCounts // by move id; from merged reports
	breakers map[breakerKey]*move.Breaker
	lastSeen map[string]time.Time // by move id: the last report, or when State listed it as running
	sequence uint64               // of the last merged reports
}

type breakerKey struct{ move, domain string }

var (
	_ ports.ReportSink  = (*Collector)(nil)
	_ ports.BrakeReader = (*Collector)(nil)
)

// NewCollector returns a Collector; Run must be started for it to forward reports.
func NewCollector(options Options, leadership ports.Leadership, client *rpc.Client, logger log.Logger) *Collector {
	return &Collector{
		options: options.withDefaults(), leadership: leadership, client: client, logger: logger,
		merger: move.NewMerger(), counts: make(map[string]*move.MoveCounts),
		breakers: make(map[breakerKey]*move.Breaker), lastSeen: make(map[string]time.Time),
	}
}

// ReceiveReports adds reports of nodes and, on the leader, merged reports from the relays of
// other control hosts.
func (c *Collector) ReceiveReports(reports []*pb.OutcomeReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	for _, r := range reports {
		c.lastSeen[r.GetMoveId()] = now
		if strings.HasPrefix(r.GetNodeId(), relayPrefix) {
			c.moveCounts(r.GetMoveId()).Add(r, now)
		} else {
			c.merger.Add(r, now)
		}
	}
}

// moveCounts returns the counts of a move, which it creates if needed.
func (c *Collector) moveCounts(moveID string) *move.MoveCounts {
	merged := c.counts[moveID]
	if merged == nil {
		merged = move.NewMoveCounts()
		c.counts[moveID] = merged
	}
	return merged
}

// BrakedMoves returns the sorted ids of the moves whose circuit breaker is open in a failure
// domain, as observed by this control host or reported by enough of its nodes.
func (c *Collector) BrakedMoves(failureDomain string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id := range c.lastSeen {
		b := c.breakers[breakerKey{id, failureDomain}]
		if (b != nil && b.Open()) || c.merger.Braked(id, failureDomain) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Run merges and forwards reports once per interval until the context ends.
func (c *Collector) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if reports := c.mergeReports(); len(reports) > 0 {
				c.forward(ctx, reports)
			}
		}
	}
}

// mergeReports updates the circuit breakers and returns the merged reports, one per move and
// failure domain. It also adds them to this host's own counts, which are used when it leads.
func (c *Collector) mergeReports() []*pb.OutcomeReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	running := c.dropIdleMoves(now)
	c.sequence++
	var out []*pb.OutcomeReport
	for id := range c.lastSeen {
		reports := c.merger.Reports(id)
		if running != nil && !slices.ContainsFunc(reports, c.isOwnDomain) {
			reports = append(reports, &pb.OutcomeReport{MoveId: id, FailureDomain: c.options.FailureDomain})
		}
		for _, r := range reports {
			r.Braked = c.updateBreaker(id, r.GetFailureDomain(), running[id], now) || r.GetBraked()
			r.NodeId, r.Incarnation, r.Sequence = relayPrefix+c.options.ID, c.options.Incarnation, c.sequence
			r.AtUnixMs = now.UnixMilli()
			c.moveCounts(id).Add(r, now)
		}
		out = append(out, reports...)
	}
	return out
}

func (c *Collector) isOwnDomain(r *pb.OutcomeReport) bool {
	return r.GetFailureDomain() == c.options.FailureDomain
}

// dropIdleMoves drops each move that is not running and for which no report has arrived for
// idleTimeout. It returns the running moves by id, or nil without a StateReader.
func (c *Collector) dropIdleMoves(now time.Time) map[string]*pb.Move {
	var running map[string]*pb.Move
	if c.options.State != nil {
		running = make(map[string]*pb.Move)
		for _, m := range c.options.State.State().Moves {
			if move.Running(m.GetPhase()) {
				running[m.GetMoveId()] = m
				c.lastSeen[m.GetMoveId()] = now
			}
		}
	}
	keep := func(id string) bool {
		// Nodes may learn of a move before this host does, so a move that is not running here
		// is kept until its reports have stopped.
		return running[id] != nil || now.Sub(c.lastSeen[id]) < idleTimeout
	}
	for id := range c.lastSeen {
		if !keep(id) {
			delete(c.lastSeen, id)
			delete(c.counts, id)
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

// updateBreaker updates the circuit breaker of a failure domain and reports whether it is open.
func (c *Collector) updateBreaker(id, domain string, m *pb.Move, now time.Time) bool {
	key := breakerKey{id, domain}
	b := c.breakers[key]
	if b == nil {
		b = move.NewBreaker(domain)
		c.breakers[key] = b
	}
	wasOpen := b.Open()
	b.Observe(c.merger.Cells(id, domain), shareOf(m, domain), now)
	if b.Open() && !wasOpen {
		_ = c.logger.Log("msg", "circuit breaker opened", "move", id, "failure_domain", domain)
	}
	return b.Open()
}

// shareOf returns the share of the new version in a failure domain, in permille, or 0 if the
// move is nil or does not list the failure domain.
func shareOf(m *pb.Move, domain string) uint32 {
	for _, d := range m.GetDomains() {
		if d.GetFailureDomain() == domain {
			return d.GetNewPermille()
		}
	}
	return 0
}

// forward sends the merged reports to the leader. A lost report is not sent again, because the
// next one includes its counts.
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

// evidence returns the evidence of a move for the Decider of this package. It is empty without
// any reports.
func (c *Collector) evidence(moveID string) *move.Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	if merged := c.counts[moveID]; merged != nil {
		return merged.Evidence()
	}
	return &move.Evidence{Domains: make(map[string]move.DomainStatus)}
}

// reportsOwnDomain reports whether each control host reports on its failure domain even
// without reports of nodes.
func (c *Collector) reportsOwnDomain() bool { return c.options.State != nil }
