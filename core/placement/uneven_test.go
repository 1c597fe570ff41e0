package placement

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/core/admission"
	"github.com/rattanfield/rattanfield/ports"
)

type waveEvent struct {
	at  time.Time
	run func()
}

type waveEvents []waveEvent

func (e waveEvents) Len() int           { return len(e) }
func (e waveEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e waveEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *waveEvents) Push(x any)        { *e = append(*e, x.(waveEvent)) }
func (e *waveEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	waveDomains, waveEntries, waveUpstreams = 4, 10, 3 // in two regions; entries and upstreams of each domain
	waveSlots                               = 9
	waveService                             = 100 * time.Millisecond
	waveGoal                                = 300 * time.Millisecond
	waveLimit                               = time.Second
	waveKilobytes                           = 4
	waveLength                              = 30 * time.Second
	// waveReport is the time of an answer on its way.
	waveReport = 2 * time.Millisecond
)

// waveSpeeds are the speeds of the upstreams, relative to their mean.
var waveSpeeds = []float64{0.55, 1.2, 1.2, 1.2}

type waveGate struct {
	queue    *admission.Queue
	speed    float64
	waiting  map[uint64]func()
	arrivals [waveLength / time.Second]float64
}

type waveRequest struct {
	id    uint64
	at    time.Time
	entry int
	tried map[string]bool
}

// wave simulates a service whose demand moves through the failure domains.
type wave struct {
	random  *rand.Rand
	now     time.Time
	events  waveEvents
	gates   []*waveGate
	names   []string
	pickers []*Picker
	load    float64
	swing   float64 // share by which the demand of a domain differs from its mean
	plain   bool    // without the cost of busy slots
	nextID  uint64

	runs, busiest                                        float64
	requests, timely, late, rejected, domainKB, regionKB float64
	waits                                                []time.Duration
}

func (w *wave) after(d time.Duration, run func()) {
	heap.Push(&w.events, waveEvent{w.now.Add(d), run})
}

func (w *wave) run(seed uint64) {
	w.random, w.now = rand.New(rand.NewPCG(seed, 1)), base
	for i := range waveDomains * waveUpstreams {
		w.gates = append(w.gates, &waveGate{queue: admission.New(waveSlots), speed: waveSpeeds[i%len(waveSpeeds)], waiting: make(map[uint64]func())})
		w.names = append(w.names, string(rune('a'+i)))
	}
	capacity := 0.0
	for _, g := range w.gates {
		capacity += g.speed * waveSlots / waveService.Seconds()
	}
	for i := range waveDomains * waveEntries {
		p := New()
		p.ignoreBusy = w.plain
		w.pickers = append(w.pickers, p)
		var arrive func()
		arrive = func() {
			w.requests++
			w.nextID++
			w.send(&waveRequest{id: w.nextID, at: w.now, entry: i, tried: make(map[string]bool)})
			phase := 2 * math.Pi * (w.now.Sub(base).Seconds()/15 - float64(i/waveEntries)/waveDomains)
			perSecond := w.load * capacity / (waveDomains * waveEntries) * (1 + w.swing*math.Sin(phase))
			w.after(time.Duration(w.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
		}
		w.after(time.Duration(w.random.Float64()*float64(100*time.Millisecond)), arrive)
	}
	for len(w.events) > 0 && w.now.Sub(base) < waveLength {
		next := heap.Pop(&w.events).(waveEvent)
		w.now = next.at
		next.run()
	}
}

func waveLink(from, to int) ports.Link {
	switch {
	case from == to:
		return ports.LinkDomain
	case from/2 == to/2:
		return ports.LinkRegion
	}
	return ports.LinkRemote
}

func (w *wave) send(r *waveRequest) {
	domain := r.entry / waveEntries
	list := make([]Candidate, len(w.gates))
	for i, name := range w.names {
		list[i] = Candidate{Gate: name, Slots: waveSlots, Link: waveLink(domain, i/waveUpstreams)}
	}
	now, p := w.now, w.pickers[r.entry]
	spec := admission.Request{ID: r.id, Priority: 1, Goal: r.at.Add(waveGoal), Deadline: r.at.Add(waveLimit), GoalDuration: waveGoal, ServiceTime: waveService, RejectionSample: w.random.Float64()}
	i, _ := p.Pick(now, list, PickRequest{
		Tried: func(gate string) bool { return r.tried[gate] }, Service: "s", TimeLeft: spec.Goal.Sub(now), Kilobytes: waveKilobytes, Priority: 1, Random: w.random.Float64,
		MaxQueueWait: func(service time.Duration) time.Duration { return spec.MaxWaitInPeak(now, service, 1) },
	})
	if i < 0 || len(r.tried) > 2 {
		w.rejected++
		return
	}
	switch list[i].Link {
	case ports.LinkRegion:
		w.domainKB += waveKilobytes
	case ports.LinkRemote:
		w.regionKB += waveKilobytes
	}
	g, name := w.gates[i], w.names[i]
	r.tried[name] = true
	p.Sent(name)
	way := waveReport + roundTrip(list[i])/2
	w.after(way, func() {
		if second := int(w.now.Sub(base) / time.Second); second < len(g.arrivals) {
			g.arrivals[second]++
		}
		began := w.now
		done := func(notRun bool) {
			load := g.queue.Load(w.now)
			w.after(way, func() {
				p.Done(w.now, name, "s", Outcome{Load: &load, NotRun: notRun})
				switch late := w.now.After(spec.Goal); {
				case notRun:
					w.send(r)
				case late:
					w.late++
				default:
					w.timely++
				}
			})
		}
		start := func() {
			w.waits = append(w.waits, w.now.Sub(began))
			spent := time.Duration(math.Exp(0.5*w.random.NormFloat64()-0.125) / g.speed * float64(waveService))
			w.after(spent, func() {
				for _, id := range g.queue.Finish(w.now, r.id, spent, true) {
					g.waiting[id]()
					delete(g.waiting, id)
				}
				done(false)
			})
		}
		spec.ServiceTime = 0 // the mean of the upstream
		d, evicted := g.queue.Offer(w.now, spec)
		for range evicted {
			w.rejected++
		}
		switch d {
		case admission.Started:
			start()
		case admission.Queued:
			g.waiting[r.id] = start
		default:
			done(true)
		}
	})
}

// add runs another simulation and adds its results.
func (w *wave) add(o *wave, seed uint64) {
	o.run(seed)
	w.runs++
	w.load = o.load
	w.requests, w.timely, w.late, w.rejected = w.requests+o.requests, w.timely+o.timely, w.late+o.late, w.rejected+o.rejected
	w.domainKB, w.regionKB = w.domainKB+o.domainKB, w.regionKB+o.regionKB
	w.waits = append(w.waits, o.waits...)
	w.busiest += o.busiestUpstream()
}

// busiestUpstream returns the mean over the seconds of the arrivals at the busiest upstream, as a multiple of the mean.
func (w *wave) busiestUpstream() float64 {
	sum := 0.0
	for second := range w.gates[0].arrivals {
		most, total := 0.0, 0.0
		for _, g := range w.gates {
			most, total = max(most, g.arrivals[second]), total+g.arrivals[second]
		}
		sum += most / (total / float64(len(w.gates)))
	}
	return sum / float64(len(w.gates[0].arrivals))
}

func (w *wave) wait(quantile float64) time.Duration {
	slices.Sort(w.waits)
	return w.waits[int(quantile*float64(len(w.waits)-1))]
}

func (w *wave) report(t *testing.T, name string) {
	t.Logf("load %.2f, %s: in time %.4f, late %.4f, rejected %.4f; wait p50 %v, p99 %v; busiest %.2f; KB per request between domains %.2f, regions %.2f", w.load, name,
		w.timely/w.requests, w.late/w.requests, w.rejected/w.requests, w.wait(0.5).Round(time.Millisecond), w.wait(0.99).Round(time.Millisecond), w.busiest/w.runs, w.domainKB/w.requests, w.regionKB/w.requests)
}

// Guards against queues at the upstreams of one failure domain while others have room. Load: 12 upstreams in four failure
// domains, of speeds 0.55 and 1.2, at 0.55 to 0.85 of their capacity, with a demand that moves through the domains in
// 15 s, plus or minus 55%.
func TestWorkMovesBeforeQueuesForm(t *testing.T) {
	is := is.NewRelaxed(t)
	for _, load := range []float64{0.55, 0.7, 0.85} {
		var present, moving wave // the sums of all seeds
		for seed := range uint64(3) {
			present.add(&wave{load: load, swing: 0.55, plain: true}, seed)
			moving.add(&wave{load: load, swing: 0.55}, seed)
		}
		present.report(t, "present")
		moving.report(t, "moving")
		is.True(moving.busiest < present.busiest)
		is.True(moving.wait(0.99) <= present.wait(0.99))
		is.True(moving.timely/moving.requests > present.timely/present.requests)
	}
	var calm wave
	calm.add(&wave{load: 0.5}, 0)
	calm.report(t, "calm")
	is.True(calm.domainKB+calm.regionKB < 0.1*waveKilobytes*calm.requests) // work does not move without need
}
