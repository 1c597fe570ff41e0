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
	whole    bool
	version  uint64
	polledAt time.Duration
	urgent   bool
	cutUntil time.Duration // no message passes until then
	downTill time.Duration // the process does not run until then
	weight   float64       // relative demand
	carry    float64
	// response arrives at responseAt.
	response   []Report
	responseAt time.Duration
}

type simHost struct {
	aggregator *Aggregator
	epoch      int64
	cutUntil   time.Duration
	have       []uint64 // versions of the other hosts
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
		n := &simNode{name: string(rune('A' + i)), host: i % hosts, weight: 1}
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
			n.downTill = 0
		}
		n.carry = s.poisson(arrivals * n.weight / total)
		for ; n.carry >= 1; n.carry-- {
			d := n.limiter.Admit(s.now, simID, s.limit, s.random.Float64())
			n.urgent = n.urgent || d.Urgent
			if d.Admitted {
				admitted++
			} else {
				rejected++
			}
		}
		if n.responseAt > 0 && s.now >= n.responseAt {
			n.limiter.Apply(s.now, n.response)
			n.responseAt = 0
		}
		s.poll(n)
	}
	s.admitted, s.rejected, s.offered = append(s.admitted, admitted), append(s.rejected, rejected), append(s.offered, admitted+rejected)
	for i, h := range s.hosts {
		s.exchange(i, h)
		h.aggregator.Sweep(s.now, s.hostNames(i))
	}
}

// poisson returns a random number of arrivals with this mean.
func (s *simulation) poisson(mean float64) float64 {
	n, sum := 0.0, s.random.ExpFloat64()
	for sum < mean {
		n++
		sum += s.random.ExpFloat64()
	}
	return n
}

func (s *simulation) hostNames(not int) []string {
	var out []string
	for i := range s.hosts {
		if i != not {
			out = append(out, string(rune('a'+i)))
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
	if s.now < n.cutUntil || s.now < h.cutUntil || s.random.Float64() < lossRate {
		if s.now >= n.cutUntil && s.now < h.cutUntil { // the control host is lost, not the node
			n.host, n.whole = (n.host+1)%len(s.hosts), true
		}
		return
	}
	whole := n.whole
	reports := n.limiter.Report(s.now, whole)
	h.aggregator.Put(s.now, n.name, n.epoch, uint64(s.now), false, reports, whole)
	for i, o := range s.hosts {
		if i != n.host && s.now >= o.cutUntil {
			o.aggregator.Moved(s.now, n.name, n.epoch, uint64(s.now))
		}
	}
	n.limiter.Acknowledge()
	if whole {
		n.version = 0
	}
	n.whole = false
	if h.aggregator.Complete() {
		n.response, n.responseAt = h.aggregator.Others(n.name, n.version), s.now+2*oneWay*tick
		n.version = h.aggregator.Version()
	}
}

// pushWait is the least time between two responses that only bring totals.
const pushWait = 200 * time.Millisecond

const lossRate = 0.02

// exchange lets a control host fetch the sums of the others.
func (s *simulation) exchange(i int, h *simHost) {
	if s.now < h.cutUntil {
		return
	}
	for j, o := range s.hosts {
		if j == i || s.now < o.cutUntil {
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
