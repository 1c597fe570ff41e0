package simupstream

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Execution is what happens to one request.
type Execution struct {
	RunTime time.Duration
	Fail    bool
	Crash   bool
}

// Behaviour decides what happens to requests. Time and randomness are passed in.
type Behaviour struct {
	options Options
	started time.Time

	mu     sync.Mutex
	random *rand.Rand
	calls  uint64
}

// NewBehaviour returns the behaviour of an upstream that starts at a time.
func NewBehaviour(o Options, started time.Time) *Behaviour {
	return &Behaviour{options: o, started: started, random: rand.New(rand.NewPCG(o.Seed, 1))}
}

// Plan the next request.
func (b *Behaviour) Plan(now time.Time, path string, crash, firstOfConnection bool) Execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls++
	p := Execution{RunTime: b.options.Latency, Crash: crash}
	if c := b.options.CrashPath; c != "" && (Fault{PathPrefix: c}).covers(path) {
		p.Crash = true
	}
	if b.options.ExpLatency > 0 {
		p.RunTime += time.Duration(b.random.ExpFloat64() * float64(b.options.ExpLatency))
	}
	factor := b.coldFactor(now)
	for _, f := range b.options.Faults {
		if !b.faulty(now) || !f.covers(path) {
			continue
		}
		if f.SlowFactor > 0 {
			factor *= f.SlowFactor
		}
		p.Fail = p.Fail || b.random.Float64() < f.ErrorRate
	}
	p.RunTime = time.Duration(float64(p.RunTime) * factor)
	if firstOfConnection {
		p.RunTime += b.options.ConnectionCost
	}
	return p
}

func (b *Behaviour) faulty(now time.Time) bool {
	return now.Sub(b.started) >= b.options.FaultAfter && b.calls > b.options.FaultAfterCalls
}

func (b *Behaviour) coldFactor(now time.Time) float64 {
	age := now.Sub(b.started)
	if b.options.ColdFactor <= 1 || age >= b.options.ColdStart {
		return 1
	}
	left := 1 - float64(age)/float64(b.options.ColdStart)
	return 1 + (b.options.ColdFactor-1)*left
}
