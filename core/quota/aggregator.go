package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// Forget is the time after which the capacity of a silent node is free. Until then the node may serve, cut off, with what it holds.
	Forget = 60 * time.Second
	// ghostTime is how long the capacity that a process held is counted after another process has started on its node: what
	// it has run leaves the window in that time.
	ghostTime = 6 * time.Second
	// stoppedAfter is the time without a report after which a node that stops has ended.
	stoppedAfter = 2500 * time.Millisecond
	// restartTime is how long the sums of a control host that has started again are not taken to fall: its nodes need up to that
	// long to report to it again.
	restartTime = 4 * time.Second
	// peerSilent is the time without an exchange after which a control host is taken to be unreachable: more than one long poll.
	peerSilent = 3 * time.Second
	// startTime is how long a control host that has started states no totals: its nodes need up to that long to report to another
	// one or to this one.
	startTime = 2 * time.Second
	// coarse is the relative change of a sum of calm organisations that is passed on.
	coarse = 0.125
	fine   = 0.05 // the same for urgent ones
)

// Aggregator sums the demand of all nodes at a control host. It is not safe for concurrent use.
type Aggregator struct {
	nodes map[string]*nodeDemand
	peers map[string]*peerDemand
	sums  map[ID]*sum
	// broadcast holds the limited organisations and those whose limitation ended within Forget, which all nodes hear of.
	broadcast map[ID]*sum
	// version counts the changes of totals that are passed on to nodes, ownVersion those of the sums of own nodes.
	version, ownVersion uint64
	started             time.Duration
	complete            bool
}

type nodeDemand struct {
	epoch   int64
	seq     uint64
	heardAt time.Duration
	// stopping tells that the process stops and will run nothing after its last report.
	stopping bool
	values   map[ID]Demand
	ghosts   map[ID]ghost
}

// ghost is the capacity that an ended process of a node held.
type ghost struct {
	demand Demand
	until  time.Duration
}

type peerDemand struct {
	epoch   int64
	values  map[ID]Demand
	before  map[ID]Demand // of its last process, until the time before
	until   time.Duration
	heardAt time.Duration
	heard   bool
	// nodes is the number of nodes that report to the host as far as known, and nodesHeard the same when it was last heard.
	nodes, nodesHeard int
}

// factor returns the part of the sums of a control host that is still its own. While it is silent, its nodes report to others.
func (p *peerDemand) factor(now time.Duration) float64 {
	if now-p.heardAt < peerSilent || p.nodes >= p.nodesHeard {
		return 1
	}
	return float64(p.nodes) / float64(p.nodesHeard)
}

// sum is the demand of an organisation.
type sum struct {
	own                 tally   // of the nodes that report to this host, now
	allowance           float64 // the last one that a node reported to this host
	foreign             Demand  // of the other control hosts, now
	passedOwn, passed   Demand  // own and the total as of the last change that was passed on
	ownVersion, version uint64  // at the last change that was passed on
	endVersion          uint64  // version at the end of the last limitation
	endedAt             time.Duration
}

// tally is a sum of demands from which a demand can be taken away again. Its numbers are whole, so that no error accumulates.
type tally struct {
	rate, capacity, used   int64 // in thousandths
	nodes, urgent, limited int
}

func (t *tally) add(d Demand, sign int) {
	t.rate += int64(sign) * int64(math.Round(d.Rate*1000))
	t.capacity += int64(sign) * int64(math.Round(d.Capacity*1000))
	t.used += int64(sign) * int64(math.Round(d.Used*1000))
	t.nodes += sign * d.Nodes
	if d.Urgent {
		t.urgent += sign
	}
	if d.Limited {
		t.limited += sign
	}
}

func (t *tally) demand() Demand {
	return Demand{Rate: float64(t.rate) / 1000, Capacity: float64(t.capacity) / 1000, Used: float64(t.used) / 1000, Nodes: t.nodes, Urgent: t.urgent > 0, Limited: t.limited > 0}
}

// NewAggregator returns an empty aggregator of a control host that starts now.
func NewAggregator(now time.Duration) *Aggregator {
	return &Aggregator{nodes: make(map[string]*nodeDemand), peers: make(map[string]*peerDemand), sums: make(map[ID]*sum), broadcast: make(map[ID]*sum), started: now}
}

// Version returns a counter of the changes of totals.
func (a *Aggregator) Version() uint64 { return a.version }

// OwnVersion returns a counter of the changes of what Own returns.
func (a *Aggregator) OwnVersion() uint64 { return a.ownVersion }

// Put stores what a node reported to this host. whole says that the node holds nothing else. It reports whether an urgent total
// changed.
func (a *Aggregator) Put(now time.Duration, node string, epoch int64, seq uint64, stopping bool, reports []Report, whole bool) (urgent bool) {
	n := a.nodes[node]
	if n == nil {
		if len(reports) == 0 {
			return false
		}
		n = &nodeDemand{epoch: epoch, values: make(map[ID]Demand), ghosts: make(map[ID]ghost)}
		a.nodes[node] = n
	}
	if epoch < n.epoch || (epoch == n.epoch && seq < n.seq) {
		return false // sent before the node moved to another control host
	}
	n.heardAt, n.stopping = now, stopping
	touched := make(map[ID]bool)
	if epoch > n.epoch {
		a.end(n, now, touched)
		n.epoch, n.seq = epoch, seq
	} else if whole {
		a.clear(n, touched)
	}
	n.seq = seq
	for _, r := range reports {
		if !valid(r.Demand) || len(n.values) >= maxOrganisations {
			continue
		}
		r.Nodes = min(r.Nodes, 1)
		touched[r.ID] = true
		a.set(n, r.ID, r.Demand)
	}
	return a.pass(now, touched)
}

// set replaces what a node has reported of an organisation; a demand without a node removes it.
func (a *Aggregator) set(n *nodeDemand, id ID, d Demand) {
	s := a.sum(id)
	t := &s.own
	t.add(n.values[id], -1)
	if d.Nodes == 0 {
		delete(n.values, id)
		return
	}
	t.add(d, 1)
	s.allowance = d.Allowance
	n.values[id] = d
}

// clear removes all that a node has reported.
func (a *Aggregator) clear(n *nodeDemand, touched map[ID]bool) {
	for id := range n.values {
		touched[id] = true
		a.set(n, id, Demand{})
	}
}

// end removes all that an ended process of a node has reported, and keeps counting what may have run until it leaves the window.
func (a *Aggregator) end(n *nodeDemand, now time.Duration, touched map[ID]bool) {
	for id, d := range n.values {
		g := n.ghosts[id]
		held := Demand{Capacity: d.Capacity, Used: d.Capacity}
		g.demand, g.until = g.demand.plus(held), now+ghostTime
		n.ghosts[id] = g
		a.sum(id).own.add(held, 1)
	}
	a.clear(n, touched)
}

func (a *Aggregator) sum(id ID) *sum {
	s := a.sums[id]
	if s == nil {
		s = &sum{}
		a.sums[id] = s
	}
	return s
}

// maxOrganisations bounds the organisations that are kept for a node or a control host.
const maxOrganisations = 1 << 16

// maxNumber bounds the numbers of a report, so that their sums do not overflow.
const maxNumber = 1e11

func valid(d Demand) bool {
	return d.Rate >= 0 && d.Capacity >= 0 && d.Used >= 0 && d.Allowance >= 0 && d.Nodes >= 0 && d.Rate+d.Capacity+d.Used+d.Allowance <= maxNumber
}

// Moved drops what a node reported here because it reports to another control host now: the record that host got is newer.
func (a *Aggregator) Moved(now time.Duration, node string, epoch int64, seq uint64) (urgent bool) {
	n := a.nodes[node]
	if n == nil || epoch < n.epoch || (epoch == n.epoch && seq <= n.seq) {
		return false
	}
	touched := make(map[ID]bool)
	if epoch > n.epoch {
		a.end(n, now, touched)
	} else {
		a.clear(n, touched)
	}
	n.epoch, n.seq = epoch, seq
	return a.pass(now, touched)
}

// Merge stores the sums of another control host, or with whole all of them.
func (a *Aggregator) Merge(now time.Duration, peer string, epoch int64, sums []Report, whole bool) (urgent bool) {
	p := a.peers[peer]
	if p == nil {
		p = &peerDemand{values: make(map[ID]Demand), epoch: epoch}
		a.peers[peer] = p
	}
	touched := make(map[ID]bool)
	if epoch != p.epoch {
		if now > p.until { // otherwise before still holds what the nodes reported before the first of several restarts
			p.before = p.values
		}
		p.until, p.epoch, whole = now+restartTime, epoch, true
	}
	if whole {
		for id := range p.values {
			touched[id] = true
		}
		p.values = make(map[ID]Demand)
	}
	for _, r := range sums {
		if !valid(r.Demand) || len(p.values) >= maxOrganisations {
			continue
		}
		touched[r.ID] = true
		if r.Nodes == 0 && r.Capacity == 0 {
			delete(p.values, r.ID)
		} else {
			p.values[r.ID] = r.Demand
		}
	}
	p.heard, p.heardAt, p.nodesHeard = true, now, p.nodes
	return a.pass(now, touched)
}

// Sweep forgets nodes that have been silent for long and what restarted processes held. members are the other control hosts of
// the group, with the number of nodes that report to each; totals are not complete before each has been heard or Forget has passed.
func (a *Aggregator) Sweep(now time.Duration, members map[string]int) (urgent bool) {
	touched := make(map[ID]bool)
	for name, n := range a.nodes {
		for id, g := range n.ghosts {
			if now > g.until {
				touched[id] = true
				a.sum(id).own.add(g.demand, -1)
				delete(n.ghosts, id)
			}
		}
		switch silent := now - n.heardAt; {
		case silent > Forget:
			a.clear(n, touched)
		case n.stopping && silent > stoppedAfter:
			a.end(n, now, touched)
		}
		if len(n.values) == 0 && len(n.ghosts) == 0 {
			delete(a.nodes, name)
		}
	}
	for id, s := range a.broadcast {
		if !s.passed.Limited && now-s.endedAt > Forget {
			delete(a.broadcast, id)
		}
	}
	complete := true
	for m, nodes := range members {
		p := a.peers[m]
		complete = complete && p != nil && p.heard
		if p != nil && p.nodes != nodes {
			p.nodes = nodes
			if now-p.heardAt >= peerSilent {
				for id := range p.values {
					touched[id] = true
				}
			}
		}
	}
	for name, p := range a.peers {
		if p.before != nil && now > p.until {
			for id := range p.before {
				touched[id] = true
			}
			p.before = nil
		}
		if _, member := members[name]; !member && now-p.heardAt > Forget {
			for id := range p.values {
				touched[id] = true
			}
			delete(a.peers, name)
		}
	}
	a.complete = a.complete || ((complete || now-a.started > Forget) && now-a.started > startTime)
	return a.pass(now, touched)
}

// ownDemand returns the sum over the nodes of this host, and total that over all nodes.
func (s *sum) ownDemand() Demand {
	d := s.own.demand()
	if d.Nodes > 0 {
		d.Allowance = s.allowance
	}
	return d
}

func (s *sum) total() Demand { return s.ownDemand().plus(s.foreign).nearLimit() }

// pass computes the sums of organisations anew and reports whether one that is urgent or limited is to be passed on.
func (a *Aggregator) pass(now time.Duration, touched map[ID]bool) (urgent bool) {
	for id := range touched {
		s := a.sum(id)
		s.foreign = a.foreign(now, id)
		if own := s.ownDemand(); differs(s.passedOwn, own) {
			a.ownVersion++
			s.passedOwn, s.ownVersion = own, a.ownVersion
			urgent = urgent || own.Urgent || own.Limited
		}
		if total := s.total(); differs(s.passed, total) {
			a.version++
			if s.passed.Limited && !total.Limited {
				s.endVersion, s.endedAt = a.version, now
			}
			if total.Limited {
				a.broadcast[id] = s
			}
			s.passed, s.version = total, a.version
			urgent = urgent || total.Urgent || total.Limited
		}
	}
	return urgent
}

// foreign returns the sum over the other control hosts.
func (a *Aggregator) foreign(now time.Duration, id ID) Demand {
	var out Demand
	for _, name := range slices.Sorted(maps.Keys(a.peers)) { // in order, so that rounding is the same each time and a failed schedule repeats
		p := a.peers[name]
		d := p.values[id]
		if before, ok := p.before[id]; ok && now <= p.until {
			d.Rate, d.Capacity = max(d.Rate, before.Rate), max(d.Capacity, before.Capacity)
			d.Used, d.Nodes = max(d.Used, before.Used), max(d.Nodes, before.Nodes)
			d.Limited = d.Limited || before.Limited
		}
		if f := p.factor(now); f < 1 {
			d.Rate, d.Capacity, d.Used, d.Nodes = f*d.Rate, f*d.Capacity, f*d.Used, int(f*float64(d.Nodes))
		}
		out = out.plus(d)
	}
	return out
}

// differs reports whether a sum has changed so much that it is passed on.
func differs(before, after Demand) bool {
	if before.Limited != after.Limited || before.Urgent != after.Urgent || (before.Nodes == 0) != (after.Nodes == 0) {
		return true
	}
	part := coarse
	if after.Urgent || after.Limited {
		part = fine
	}
	far := func(x, y float64) bool { return math.Abs(x-y) > part*max(x, y) }
	return far(before.Rate, after.Rate) || far(before.Capacity, after.Capacity) || far(before.Used, after.Used)
}

// Own returns the sums of the nodes that report to this host, as far as they changed since a version.
func (a *Aggregator) Own(since uint64) []Report {
	var out []Report
	if since == a.ownVersion {
		return nil
	}
	for id, s := range a.sums {
		if s.ownVersion > since {
			out = append(out, Report{ID: id, Demand: s.ownDemand()})
		}
	}
	return out
}

// Others returns, for the organisations that a node reported and for all limited ones, the sums over the other nodes, as far as
// totals changed since a version. It returns none while this host has not heard all others.
func (a *Aggregator) Others(node string, since uint64) []Report {
	if !a.complete || since == a.version {
		return nil
	}
	var values map[ID]Demand
	if n := a.nodes[node]; n != nil {
		values = n.values
	}
	var out []Report
	add := func(id ID, s *sum) {
		if s.version <= since {
			return
		}
		d, held := s.total(), values[id]
		d.Rate, d.Capacity, d.Used = max(0, d.Rate-held.Rate), max(0, d.Capacity-held.Capacity), max(0, d.Used-held.Used)
		d.Nodes = max(0, d.Nodes-held.Nodes)
		out = append(out, Report{ID: id, Demand: d})
	}
	for id := range values {
		add(id, a.sums[id])
	}
	for id, s := range a.broadcast {
		// A node that has heard of a limitation must hear of its end as well.
		if _, ok := values[id]; !ok && (s.passed.Limited || s.endVersion > since) {
			add(id, s)
		}
	}
	return out
}

// Complete reports whether the totals include all nodes, so that nodes may rely on them.
func (a *Aggregator) Complete() bool { return a.complete }
