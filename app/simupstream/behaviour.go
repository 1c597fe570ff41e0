package simupstream

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Execution is how one request runs.
type Execution struct {
	RunTime time.Duration
	Fail    bool // answer with status 500
	Crash   bool // end the process
}

// Behaviour decides how requests run. The same seed, requests and times give the same
// decisions. It is safe for concurrent use.
type Behaviour struct {
	options Options
	started time.Time

	mu     sync.Mutex
	random *rand.Rand
	calls  uint64 // decisions so far
}

// NewBehaviour returns the behaviour of an upstream that started at the given time.
func NewBehaviour(o Options, started time.Time) *Behaviour {
	return &Behaviour{options: o, started: started, random: rand.New(rand.NewPCG(o.Seed, 1))}
}

// NextExecution decides how the next request runs. crash makes it crash whatever the options say.
func (b *Behaviour) NextExecution(now time.Time, path string, crash, firstOfConnection bool) Execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls++
	e := Execution{RunTime: b.options.Latency, Crash: crash}
	if c := b.options.CrashPath; c != "" && (Fault{PathPrefix: c}).covers(path) {
		e.Crash = true
	}
	if b.options.ExpLatency > 0 {
		e.RunTime += time.Duration(b.random.ExpFloat64() * float64(b.options.ExpLatency))
	}
	factor := b.coldFactor(now)
	for _, f := range b.options.Faults {
		if !b.faultsActive(now) || !f.covers(path) {
			continue
		}
		if f.SlowFactor > 0 {
			factor *= f.SlowFactor
		}
		e.Fail = e.Fail || b.random.Float64() < f.ErrorRate
	}
	e.RunTime = time.Duration(float64(e.RunTime) * factor)
	if firstOfConnection {
		e.RunTime += b.options.ConnectionCost
	}
	return e
}

// faultsActive reports whether FaultAfter and FaultAfterCalls have both passed.
func (b *Behaviour) faultsActive(now time.Time) bool {
	return now.Sub(b.started) >= b.options.FaultAfter && b.calls > b.options.FaultAfterCalls
}

// coldFactor returns the run time factor of a recent start: ColdFactor at the start, 1 from
// ColdStart on.
func (b *Behaviour) coldFactor(now time.Time) float64 {
	age := now.Sub(b.started)
	if b.options.ColdFactor <= 1 || age >= b.options.ColdStart {
		return 1
	}
	remaining := 1 - float64(age)/float64(b.options.ColdStart)
	return 1 + (b.options.ColdFactor-1)*remaining
}
