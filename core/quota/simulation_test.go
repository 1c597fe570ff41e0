package quota

import (
	"math/rand/v2"
	"slices"
	"time"
)

// simulation runs the limiters of many nodes and the aggregators of several control hosts on one virtual clock.
type simulation struct {
	limit    Limit
	settings Settings
	random   *rand.Rand
	now      time.Duration
	nodes    []*simNode
	hosts    []*simHost
	// admitted holds the admitted requests of all nodes by tick.
	admitted, rejected, offered []int
	events                      []string // to explain a failure
}

const (
	tick = 25 * time.Millisecond
	// oneWay is the time from a node to a control host or between control hosts, in ticks: 20 ms between regions and the processing.
	oneWay = 1
)

type simNode struct {
	name     string
	limiter  *Limiter
	epoch    int64
	host     int
	home     int
	reported int // the control host that got the last report
	// hostEpoch identifies the process of the control host that the node last reached.
	hostEpoch int64
	movedAt   time.Duration
	leaving   bool // the process stops after its last report
	whole     bool
	version   uint64
	polledAt  time.Duration
	urgent    bool
	cutUntil  time.Duration // no message passes until then
	downTill  time.Duration // the process does not run until then
	weight    float64       // relative demand
	// response arrives at responseAt.
	response   []Report
	responseAt time.Duration
}

type simHost struct {
	aggregator *Aggregator
	epoch      int64
	cutUntil   time.Duration // it exchanges no messages
	isolated   time.Duration // until then it reaches only nodes that report to it
	restartAt  time.Duration // end of a restart; 0: none
	have       []uint64      // versions of the other hosts
	haveEpoch  []int64
	exchanged  []time.Duration
}

func newSimulation(seed uint64, nodes, hosts int, limit Limit) *simulation {
	s := &simulation{limit: limit, settings: DefaultSettings, random: rand.New(rand.NewPCG(seed, 1)), now: time.Minute}
	for range hosts {
		s.hosts = append(s.hosts, &simHost{have: make([]uint64, hosts), haveEpoch: make([]int64, hosts)})
	}
	for i := range hosts {
		s.restartHost(i)
	}
	for i := range nodes {
		n := &simNode{name: string(rune('A' + i)), host: i % hosts, home: i % hosts, reported: i % hosts, weight: 1}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		s.restartNode(n)
	}
	return s
}

func (s *simulation) restartHost(i int) {
	h := s.hosts[i]
	h.aggregator, h.epoch = NewAggregator(s.now), int64(s.now)
	h.have, h.haveEpoch = make([]uint64, len(s.hosts)), make([]int64, len(s.hosts))
	h.exchanged = make([]time.Duration, len(s.hosts))
}

func (s *simulation) restartNode(n *simNode) {
	n.limiter, n.epoch, n.whole, n.version = New(s.settings), int64(s.now), true, 0
	n.polledAt, n.responseAt = 0, 0
	n.limiter.SetNodes(len(s.nodes))
}

const simID = ID(1)

// step advances the clock by a tick in which the given number of requests arrive over all nodes, by weight.
func (s *simulation) step(arrivals float64) {
	s.now += tick
	total := 0.0
	for _, n := range s.nodes {
		if n.downTill <= s.now {
			total += n.weight
		}
	}
	admitted, rejected := 0, 0
	for _, n := range s.nodes {
		if n.downTill > s.now || total == 0 {
			continue
		}
		if n.downTill > 0 {
			s.restartNode(n)
			n.downTill, n.leaving = 0, false
		}
		for range s.poisson(arrivals * n.weight / total) {
			d := n.limiter.Admit(s.now, simID, s.limit, s.random.Float64())
			n.urgent = n.urgent || d.Urgent
			if d.Admitted {
				admitted++
			} else {
				rejected++
			}
		}
		if n.responseAt > 0 && s.now >= n.responseAt {
			n.limiter.Heard(s.now)
			n.limiter.Apply(s.now, n.response)
			n.responseAt = 0
		}
		s.poll(n)
	}
	s.admitted, s.rejected, s.offered = append(s.admitted, admitted), append(s.rejected, rejected), append(s.offered, admitted+rejected)
	for i, h := range s.hosts {
		if h.restartAt > 0 && s.now >= h.restartAt {
			s.restartHost(i)
			h.restartAt = 0
		}
		s.exchange(i, h)
		if int(s.now/tick)%20 == 0 {
			h.aggregator.Sweep(s.now, s.members(i))
		}
	}
}

// pollNow lets the node report at once.
func (s *simulation) pollNow(n *simNode) {
	n.polledAt = 0
	s.poll(n)
}

// poisson returns a random number of arrivals with this mean.
func (s *simulation) poisson(mean float64) int {
	n, sum := 0, s.random.ExpFloat64()
	for sum < mean {
		n++
		sum += s.random.ExpFloat64()
	}
	return n
}

// members returns the control hosts other than one, with the number of their nodes.
func (s *simulation) members(not int) map[string]int {
	out := make(map[string]int)
	for i := range s.hosts {
		if i != not {
			out[string(rune('a'+i))] = 0
		}
	}
	for _, n := range s.nodes {
		if n.reported != not {
			out[string(rune('a'+n.reported))]++
		}
	}
	return out
}

// poll sends the report of a node and applies the totals. A message that is lost is not acknowledged.
func (s *simulation) poll(n *simNode) {
	early := n.urgent && s.now-n.polledAt >= UrgentInterval
	a := s.hosts[n.host].aggregator
	pushed := s.now-n.polledAt >= pushWait && a.Complete() && isUrgent(a.Others(n.name, n.version))
	if n.responseAt > 0 || !early && !pushed && s.now-n.polledAt < time.Second {
		return
	}
	n.polledAt, n.urgent = s.now, false
	h := s.hosts[n.host]
	if n.host != n.home && s.now-n.movedAt > 10*time.Second {
		n.host, n.whole, n.movedAt = n.home, true, s.now
		h = s.hosts[n.host]
	}
	if s.now < n.cutUntil || s.now < h.cutUntil || s.random.Float64() < lossRate {
		if s.now >= n.cutUntil && s.now < h.cutUntil { // the control host is lost, not the node
			n.host, n.whole, n.movedAt = (n.host+1)%len(s.hosts), true, s.now
		}
		return
	}
	whole := n.whole
	n.reported = n.host
	reports := n.limiter.Report(s.now, whole)
	h.aggregator.Put(s.now, n.name, n.epoch, uint64(s.now), n.leaving, reports, whole)
	for i, o := range s.hosts {
		if i != n.host && s.reaches(h, o) {
			o.aggregator.Moved(s.now, n.name, n.epoch, uint64(s.now))
		}
	}
	n.limiter.Acknowledge()
	if whole {
		n.version = 0
	}
	n.whole = false
	if n.hostEpoch != h.epoch { // the node learns from the response that the control host has started again
		n.whole, n.polledAt = !whole, n.polledAt-time.Second
		n.hostEpoch = h.epoch
	}
	if h.aggregator.Complete() && s.hasQuorum(n.host) {
		n.response, n.responseAt = h.aggregator.Others(n.name, n.version), s.now+2*oneWay*tick
		if s.random.Float64() < lateRate {
			n.responseAt += 20 * tick
		}
		n.version = h.aggregator.Version()
	}
}

// pushWait is the least time between two responses that only bring totals.
const pushWait = 200 * time.Millisecond

// lossRate is the share of the polls that are lost, and lateRate that of the responses that come half a second late.
const (
	lossRate = 0.02
	lateRate = 0.02
)

// reaches reports whether two control hosts exchange messages.
func (s *simulation) reaches(a, b *simHost) bool {
	return s.now >= max(a.cutUntil, a.isolated, b.cutUntil, b.isolated)
}

// hasQuorum reports whether a control host reaches a majority. Without one it states no totals.
func (s *simulation) hasQuorum(host int) bool {
	reached := 1
	for i, o := range s.hosts {
		if i != host && s.reaches(s.hosts[host], o) {
			reached++
		}
	}
	return reached > len(s.hosts)/2
}

// exchange lets a control host fetch the sums of the others.
func (s *simulation) exchange(i int, h *simHost) {
	for j, o := range s.hosts {
		if j == i || !s.reaches(h, o) {
			continue
		}
		since, whole := h.have[j], h.haveEpoch[j] != o.epoch
		if whole {
			since = 0
		}
		sums := o.aggregator.Own(since)
		wait := 2 * time.Second
		if isUrgent(sums) {
			wait = exchangeWait
		}
		if s.now-h.exchanged[j] < wait {
			continue
		}
		h.exchanged[j] = s.now
		h.aggregator.Merge(s.now, string(rune('a'+j)), o.epoch, sums, whole)
		h.have[j], h.haveEpoch[j] = o.aggregator.OwnVersion(), o.epoch
	}
}

// exchangeWait is the time in which an urgent demand reaches another control host: 50 ms of waiting and the way.
const exchangeWait = 50*time.Millisecond + oneWay*tick

func isUrgent(list []Report) bool {
	return slices.ContainsFunc(list, func(r Report) bool { return r.Urgent || r.Limited })
}

// worst returns the largest number of admitted requests in a window and the tick at its end.
func (s *simulation) worst() (most, at int) {
	width := int(s.settings.Window / tick)
	sum := 0
	for i, n := range s.admitted {
		sum += n
		if i >= width {
			sum -= s.admitted[i-width]
		}
		if sum > most {
			most, at = sum, i
		}
	}
	return most, at
}

func (s *simulation) bound() float64 {
	return (s.limit.Rate*s.settings.Window.Seconds()+s.limit.Burst)*(1+s.settings.Excess) + s.settings.Slack
}

func sumOf(list []int) int {
	out := 0
	for _, n := range list {
		out += n
	}
	return out
}

// skew gives the nodes very uneven parts of the demand.
func (s *simulation) skew() {
	for i, n := range s.nodes {
		n.weight = 1 / float64(i+1)
	}
}

// leastServed returns the least part of the rate that was served in a time of this length, in each second of which at least 1.2 times
// the rate was offered; 1 if there was none.
func (s *simulation) leastServed(length time.Duration) float64 {
	width, second, least := int(length/tick), int(time.Second/tick), 1.0
	for end := width; end <= len(s.admitted); end += second / 4 {
		busy := true
		for from := end - width; from < end; from += second {
			busy = busy && float64(sumOf(s.offered[from:from+second])) >= 1.2*s.limit.Rate
		}
		if busy {
			least = min(least, float64(sumOf(s.admitted[end-width:end]))/(s.limit.Rate*length.Seconds()))
		}
	}
	return least
}
