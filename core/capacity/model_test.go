package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rattanfield/rattanfield/core/admission"
	"github.com/rattanfield/rattanfield/core/placement"
	"github.com/rattanfield/rattanfield/ports"
)

// host is a model of an upstream behind the admission queue of its gate. Up to its knee each request runs at full speed;
// beyond it they share what the knee gives.
type host struct {
	slots    int
	knee     float64                             // 0: none
	power    float64                             // of the slowdown beyond the knee; 1: the throughput stays, above 1: it falls
	speed    func(now time.Duration) float64     // nil: 1
	errorsAt func(now time.Duration) (fast bool) // nil: none; requests end as an error after a few ms
	restarts time.Duration                       // when another instance takes its place; 0: never
	queue    *admission.Queue
	learner  *Learner
	running  []*job // in the order of their start
}

type job struct {
	arrived, started time.Duration
	left             float64 // work in seconds
	kind             string
	bad              bool
	target, entry    int
	tried            map[int]bool
	request          admission.Request
}

// load is what clients send to the hosts of a service. The zero value of a field takes the usual one.
type load struct {
	perSecond func(now time.Duration) float64
	kinds     []time.Duration // median work, each with the same share
	spread    float64         // sigma of the log-normal work; a tail of 3 percent takes 7 times as long
	length    time.Duration
	measured  time.Duration // outcomes before are not counted
}

type outcome struct {
	p50, p99 time.Duration // from arrival to answer, of the served requests
	refused  float64
	served   []int    // good answers by host
	limits   []int    // learned limits at the end
	changes  []string // of learned limits
	trials   uint64
	bySecond [][]int // answers by second and host
}

var origin = time.Unix(1000, 0)

// policy is how limits are set and hosts are chosen.
type policy int

const (
	fixed   policy = iota // the announced slots
	learned               // learned limits
	best                  // a split that knows all speeds, knees and loads at every moment
)

// ideal returns the concurrency from which a host gains nothing.
func (h *host) ideal() int {
	if h.knee > 0 {
		return int(math.Ceil(h.knee))
	}
	return h.slots
}

// speedAt returns the speed of a host, without its knee.
func (h *host) speedAt(now time.Duration) float64 {
	if h.speed != nil {
		return h.speed(now)
	}
	return 1
}

// simulate runs a load in steps of a millisecond.
func simulate(seed uint64, by policy, l load, hosts ...host) outcome {
	rng := rand.New(rand.NewPCG(seed, 1))
	o := outcome{served: make([]int, len(hosts)), limits: make([]int, len(hosts)), bySecond: make([][]int, int(l.length/time.Second)+1)}
	pickers := []*placement.Picker{placement.New(), placement.New(), placement.New(), placement.New()}
	candidates := make([]placement.Candidate, len(hosts))
	gates := make([]string, len(hosts))
	for i := range hosts {
		hosts[i].queue = admission.New(hosts[i].slots)
		if by == best {
			hosts[i].queue.SetSlots(origin, hosts[i].ideal())
		}
		hosts[i].learner = New(hosts[i].slots, "v1")
		gates[i] = string(rune('a' + i))
		candidates[i] = placement.Candidate{Gate: gates[i], Slots: hosts[i].slots, Link: ports.LinkDomain}
	}
	for i := range o.bySecond {
		o.bySecond[i] = make([]int, len(hosts))
	}
	jobs := make(map[uint64]*job)
	var waits []time.Duration
	total, refused, nextID := 0, 0, uint64(0)
	now := time.Duration(0)
	at := func() time.Time { return origin.Add(now) }
	begin := func(ids []uint64) {
		for _, id := range ids {
			j := jobs[id]
			j.started = now
			hosts[j.target].running = append(hosts[j.target].running, j)
			hosts[j.target].learner.Started(at(), id)
		}
	}
	done := func(j *job, out placement.Outcome) {
		report := hosts[j.target].queue.Load(at())
		out.Load = &report
		pickers[j.entry].Done(at(), gates[j.target], "s", out)
	}
	var place func(id uint64)
	turnAway := func(ids []uint64) {
		for _, id := range ids {
			done(jobs[id], placement.Outcome{NotRun: true})
			place(id)
		}
	}
	place = func(id uint64) {
		j := jobs[id]
		target := -1
		if by == best {
			least := math.Inf(1)
			for i := range hosts {
				if report := hosts[i].queue.Load(at()); !j.tried[i] {
					ahead := max(0, float64(report.Running+report.Queued+1-report.Slots)) / float64(report.Slots)
					if t := (1 + ahead) / hosts[i].speedAt(now) * (1 + 0.01*rng.Float64()); t < least {
						target, least = i, t
					}
				}
			}
		} else if len(j.tried) < 3 {
			target, _ = pickers[j.entry].Pick(at(), candidates, placement.PickRequest{
				Tried: func(g string) bool { return j.tried[int(g[0]-'a')] }, Service: "s", TimeLeft: j.request.Goal.Sub(at()), Kilobytes: 2, Priority: 1,
				MaxQueueWait: func(s time.Duration) time.Duration { return j.request.MaxWait(at(), s) }, Random: rng.Float64,
			})
		}
		if target < 0 {
			if delete(jobs, id); j.arrived >= l.measured {
				refused++
			}
			return
		}
		j.tried[target], j.target = true, target
		pickers[j.entry].Sent(gates[target])
		decision, evicted := hosts[target].queue.Offer(at(), j.request)
		turnAway(evicted)
		switch decision {
		case admission.Started:
			begin([]uint64{id})
		case admission.Queued:
		default:
			turnAway([]uint64{id})
		}
	}
	for ; now < l.length; now += time.Millisecond {
		for range poisson(rng, l.perSecond(now)/1000) {
			k := l.kinds[rng.IntN(len(l.kinds))]
			work := k.Seconds() * math.Exp(l.spread*rng.NormFloat64())
			if l.spread > 0 && rng.Float64() < 0.03 {
				work *= 7
			}
			nextID++
			jobs[nextID] = &job{arrived: now, left: work, kind: k.String(), entry: rng.IntN(len(pickers)), tried: make(map[int]bool), request: admission.Request{
				ID: nextID, Priority: 1, Goal: at().Add(4 * k), Deadline: at().Add(12*k + 2*time.Second), GoalDuration: 4 * k, RejectionSample: rng.Float64(),
			}}
			if now >= l.measured {
				total++
			}
			place(nextID)
		}
		for i := range hosts {
			h := &hosts[i]
			if h.restarts > 0 && now == h.restarts {
				h.learner = New(h.slots, "v1")
			}
			rate := 0.001 * h.speedAt(now)
			if n := float64(len(h.running)); h.knee > 0 && n > h.knee {
				rate *= math.Pow(h.knee/n, h.power)
			}
			for _, j := range slices.Clone(h.running) {
				id := j.request.ID
				if j.left -= rate; h.errorsAt != nil && h.errorsAt(now) && now-j.started > 3*time.Millisecond {
					j.bad, j.left = true, 0
				}
				if j.left > 0 {
					continue
				}
				h.running = slices.DeleteFunc(h.running, func(other *job) bool { return other == j })
				delete(jobs, id)
				begin(h.queue.Finish(at(), id, now-j.started, !j.bad))
				h.learner.Ended(at(), id, j.kind, now-j.started, !j.bad)
				done(j, placement.Outcome{Failed: j.bad})
				if j.arrived < l.measured {
					continue
				}
				if !j.bad {
					o.served[i]++
					waits = append(waits, now-j.arrived)
				}
				o.bySecond[now/time.Second][i]++
			}
			turnAway(h.queue.EvictLate(at()))
			if now%(100*time.Millisecond) == 0 {
				before, _ := h.learner.Limit()
				if by != learned {
					continue
				}
				h.learner.Tick(at())
				o.limits[i], _ = h.learner.Limit()
				if o.limits[i] != before {
					o.changes = append(o.changes, fmt.Sprintf("%v %s: %d to %d, %s", now, gates[i], before, o.limits[i], h.learner.reason))
				}
				begin(h.queue.SetSlots(at(), h.learner.InForce()))
			}
		}
	}
	for i := range hosts {
		for _, n := range hosts[i].learner.Trials() {
			o.trials += n
		}
	}
	slices.Sort(waits)
	if len(waits) > 0 {
		o.p50, o.p99 = waits[len(waits)/2], waits[len(waits)*99/100]
	}
	o.refused = float64(refused) / float64(max(1, total))
	return o
}

func poisson(rng *rand.Rand, mean float64) int {
	n, p := 0, rng.Float64()
	for limit := math.Exp(-mean); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}

// distance returns the share of the requests that would have to be moved for the split of another run.
func distance(a, b []int) float64 {
	sumA, sumB, d := 0.0, 0.0, 0.0
	for i := range a {
		sumA, sumB = sumA+float64(a[i]), sumB+float64(b[i])
	}
	for i := range a {
		d += math.Abs(float64(a[i])/sumA-float64(b[i])/sumB) / 2
	}
	return d
}
