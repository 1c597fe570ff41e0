package moves

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/rattanfield/rattanfield/core/config"
	"github.com/rattanfield/rattanfield/core/move"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// defaultInterval is the default of Options.Interval.
const defaultInterval = time.Second

// Options configures a Recorder, a Collector or a Decider.
type Options struct {
	ID            string // id of the node or control host
	FailureDomain string
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation int64
	// Interval is the time between two reports or decisions; 0 means one second.
	Interval time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// State lets a Collector report on its failure domain while no node there calls the
	// service; nil disables that. Only Collectors use it.
	State ports.StateReader
	// Risk is the risk preference of the deployment, for services without their own. Only Deciders
	// use it.
	Risk pb.RiskPreference
}

func (o Options) withDefaults() Options {
	if o.Interval <= 0 {
		o.Interval = defaultInterval
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Recorder counts the outcomes of a node's calls while a move runs, picks the version of each
// call and holds the node's circuit breakers.
type Recorder struct {
	options       Options
	configuration ports.ConfigurationReader
	sender        ports.ReportSender
	logger        log.Logger

	active atomic.Pointer[map[string]*activeMove] // by service
	mu     sync.Mutex
	braked map[string]bool // ids of the moves whose circuit breaker is open in the failure domain
}

var (
	_ ports.OutcomeRecorder = (*Recorder)(nil)
	_ ports.VersionPicker   = (*Recorder)(nil)
	_ ports.BrakeSink       = (*Recorder)(nil)
)

// activeMove is the state of one running move on this node.
type activeMove struct {
	moveID   string
	old, new string
	breaker  *move.Breaker // used by Run only
	// limit is the largest share of the new version in permille that the breakers of the node and
	// of the failure domain allow. At 0 a circuit breaker is open: no calls to the new version.
	limit atomic.Uint32

	mu     sync.Mutex
	routes map[string]*move.Pair

	sequence uint64            // of the last report
	unacked  *pb.OutcomeReport // resent with the same sequence number until a relay confirms it
	resent   bool              // the last report was sent more than once
}

// NewRecorder returns a Recorder; Run must be started for it to follow moves and send reports.
func NewRecorder(options Options, configuration ports.ConfigurationReader, sender ports.ReportSender, logger log.Logger) *Recorder {
	r := &Recorder{
		options: options.withDefaults(), configuration: configuration, sender: sender, logger: logger,
		braked: make(map[string]bool),
	}
	r.active.Store(&map[string]*activeMove{})
	return r
}

// Record counts a finished call of a service that has a running move.
func (r *Recorder) Record(o ports.CallOutcome) {
	m := (*r.active.Load())[o.Service]
	if m == nil || o.Suspect || (o.Version != m.old && o.Version != m.new) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.routes[o.Route]
	if p == nil {
		p = &move.Pair{}
		m.routes[o.Route] = p
	}
	c := &p.Old
	if o.Version == m.new {
		c = &p.New
	}
	switch {
	case o.Overload:
		c.Overloads++
	case o.Error:
		c.Calls++
		c.Errors++
	default:
		c.Calls++
		if !o.FreshEndpoint {
			c.Latency[move.Bucket(o.Latency)]++
		}
	}
}

// PickVersion returns the version for a call according to the shares of the move and the
// limit of the circuit breakers. u is a random number, uniform in [0,1).
func (r *Recorder) PickVersion(p *config.Projection, service string, u float64) string {
	shares, limit := p.Shares(service), uint32(config.MaxPermille)
	if m := (*r.active.Load())[service]; m != nil && m.moveID == shares.GetMoveId() {
		limit = m.limit.Load()
	}
	return move.Pick(p.Service(service).GetActiveVersion(), shares, r.options.FailureDomain, limit, u)
}

// SetBraked stops calls to the new version of the given moves, whose circuit breaker is open in
// the failure domain. A move stays braked until it ends, even if a restarted relay no longer
// lists it.
func (r *Recorder) SetBraked(moveIDs []string) {
	r.mu.Lock()
	for _, id := range moveIDs {
		r.braked[id] = true
	}
	r.mu.Unlock()
	for _, m := range *r.active.Load() {
		if slices.Contains(moveIDs, m.moveID) {
			m.limit.Store(0)
		}
	}
}

// Run updates the circuit breakers and sends reports until the context ends.
func (r *Recorder) Run(ctx context.Context) error {
	reports, deliveries := make(chan []*pb.OutcomeReport), make(chan bool)
	go r.send(ctx, reports, deliveries)
	ticker := time.NewTicker(r.options.Interval)
	defer ticker.Stop()
	var sending []*pb.OutcomeReport
	for {
		select {
		case <-ctx.Done():
			close(reports)
			<-deliveries
			return nil
		case delivered := <-deliveries:
			r.acknowledge(sending, delivered)
			sending = nil
		case <-ticker.C:
			r.updateActiveMoves()
			r.updateLimits()
			if sending == nil {
				if sending = r.reports(); sending != nil {
					reports <- sending
				}
			}
		}
	}
}

// send delivers batches one at a time in its own goroutine, so that a slow relay does not
// delay the circuit breakers. After each batch it sends to deliveries whether the batch was
// delivered, and it closes deliveries when reports is closed.
func (r *Recorder) send(ctx context.Context, reports <-chan []*pb.OutcomeReport, deliveries chan<- bool) {
	defer close(deliveries)
	for batch := range reports {
		err := r.sender.SendReports(ctx, batch)
		select {
		case deliveries <- err == nil:
		case <-ctx.Done():
		}
	}
}

// updateActiveMoves updates the active moves from the projection in force.
func (r *Recorder) updateActiveMoves() {
	p := r.configuration.Projection()
	if p == nil {
		return
	}
	before, after := *r.active.Load(), make(map[string]*activeMove)
	for _, s := range p.Configuration.GetShares() {
		if s.GetMoveId() == "" || !move.Running(s.GetPhase()) {
			continue
		}
		m := before[s.GetService()]
		if m == nil || m.moveID != s.GetMoveId() {
			m = &activeMove{
				moveID: s.GetMoveId(), old: s.GetOldVersion(), new: s.GetNewVersion(),
				breaker: move.NewBreaker(r.options.FailureDomain), routes: make(map[string]*move.Pair),
			}
			m.limit.Store(config.MaxPermille)
		}
		after[s.GetService()] = m
	}
	r.active.Store(&after)
	r.pruneBraked(after)
}

// pruneBraked drops the braked moves that are not active any more.
func (r *Recorder) pruneBraked(active map[string]*activeMove) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.braked {
		known := false
		for _, m := range active {
			known = known || m.moveID == id
		}
		if !known {
			delete(r.braked, id)
		}
	}
}

// isBraked reports whether the circuit breaker of the failure domain is open for a move.
func (r *Recorder) isBraked(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.braked[id]
}

// updateLimits updates the circuit breakers and the limits of all active moves.
func (r *Recorder) updateLimits() {
	p := r.configuration.Projection()
	for service, m := range *r.active.Load() {
		wasOpen := m.breaker.Open()
		m.breaker.Observe(m.cells(r.options.FailureDomain), move.NewPermille(p.Shares(service), r.options.FailureDomain), r.options.Now())
		if m.breaker.Open() && !wasOpen {
			_ = r.logger.Log("msg", "circuit breaker opened", "service", service, "move", m.moveID, "version", m.new)
		}
		m.limit.Store(m.breaker.Limit())
		if r.isBraked(m.moveID) {
			m.limit.Store(0)
		}
	}
}

// cells returns the cumulative counts of the node by route.
func (m *activeMove) cells(domain string) []move.CellCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]move.CellCounts, 0, len(m.routes))
	for route, p := range m.routes {
		out = append(out, move.CellCounts{Cell: move.Cell{Route: route, Domain: domain}, Pair: *p})
	}
	move.SortCells(out)
	return out
}

// reports returns the batch to send, or nil while no move runs.
func (r *Recorder) reports() []*pb.OutcomeReport {
	var out []*pb.OutcomeReport
	for _, m := range *r.active.Load() {
		if m.unacked == nil {
			m.sequence = move.NextSequence(m.sequence, m.resent)
			m.unacked, m.resent = m.report(r.options), false
		}
		out = append(out, m.unacked)
	}
	return out
}

// report returns a new report with the cumulative counts.
func (m *activeMove) report(o Options) *pb.OutcomeReport {
	cells := m.cells(o.FailureDomain)
	report := &pb.OutcomeReport{
		MoveId: m.moveID, NodeId: o.ID, Incarnation: o.Incarnation, Sequence: m.sequence,
		FailureDomain: o.FailureDomain, AtUnixMs: o.Now().UnixMilli(), Braked: m.breaker.Open(),
	}
	for i := range cells {
		report.Routes = append(report.Routes, &pb.RouteOutcome{
			Route: cells[i].Route, Old: cells[i].Old.ToProto(), New: cells[i].New.ToProto(),
		})
	}
	return report
}

// acknowledge discards reports that were delivered. The others are sent again unchanged, so
// that a relay which did receive one recognizes it.
func (r *Recorder) acknowledge(sent []*pb.OutcomeReport, delivered bool) {
	for _, m := range *r.active.Load() {
		switch {
		case !slices.Contains(sent, m.unacked):
		case delivered:
			m.unacked = nil
		default:
			m.resent = true
		}
	}
}
