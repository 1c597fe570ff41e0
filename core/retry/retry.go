package retry

import "time"

const (
	// MaxDepth is the maximum number of layers of nested calls.
	MaxDepth = 28
	// MaxAttempts is the maximum number of attempts of one call, including the first one.
	MaxAttempts = 3
	// MaxReroutes is the maximum number of times that a call is rerouted, outside the
	// budget, from an endpoint that accepted no request at all. Such an endpoint is
	// avoided at once, so that these attempts add no load to it.
	MaxReroutes = 4

	defaultPercent = 10
	// minRetryInterval lets a service with few calls retry at all: a retry outside the
	// budget is allowed if there was none for this long.
	minRetryInterval = time.Second
	// defaultBurst is the maximum number of retries that the budget accumulates while none is used.
	defaultBurst = 20.0
)

// Budget limits retries to a share of the calls of one service. It is not safe
// for concurrent use.
type Budget struct {
	percent   float64
	burst     float64
	tokens    float64
	lastRetry time.Time
}

// NewBudget returns a budget in percent of calls; 0 selects the default.
func NewBudget(percent uint32) *Budget {
	return NewBudgetWithBurst(percent, defaultBurst)
}

// NewBudgetWithBurst returns a budget in percent of calls that accumulates at most burst retries.
func NewBudgetWithBurst(percent uint32, burst float64) *Budget {
	b := &Budget{burst: burst}
	b.SetPercent(percent)
	return b
}

// SetPercent changes the share of calls that may be retried; 0 selects the default.
func (b *Budget) SetPercent(percent uint32) {
	if percent == 0 {
		percent = defaultPercent
	}
	b.percent = float64(percent)
}

// SetBurst changes the number of retries that the budget accumulates; it is at least the cost of one.
func (b *Budget) SetBurst(burst float64) {
	b.burst = max(burst, 1+b.percent/100)
	b.tokens = min(b.tokens, b.burst)
}

// CountCall counts one call, which adds its share to the budget.
func (b *Budget) CountCall() { b.tokens = min(b.tokens+b.percent/100, b.burst) }

// maxDebt is the number of retries beyond the budget that it makes up for.
const maxDebt = 20

// Debit uses one retry that was sent whatever the budget has.
func (b *Budget) Debit() { b.tokens = max(b.tokens-1-b.percent/100, -maxDebt) }

// Take uses one retry and reports whether it is allowed: because the budget has
// one, or because there was none for minRetryInterval. A retry also costs the
// share that its call added, so that retries stay below the share of calls and
// retries together.
func (b *Budget) Take(now time.Time) bool {
	cost := 1 + b.percent/100
	switch {
	case b.tokens >= cost:
		b.tokens -= cost
	case now.Sub(b.lastRetry) < minRetryInterval:
		return false
	}
	b.lastRetry = now
	return true
}

// Attempt describes a failed attempt for Decide.
type Attempt struct {
	Number   int // 1 for the first
	Reroutes int // earlier attempts that ended with Reroute
	// NotRun is true when it is certain that no upstream received any byte of the request.
	NotRun bool
	// Unreached is true when the endpoint accepts no requests: it is leaving, closed or refuses connections.
	Unreached bool
	// NestedFailure is true when a nested call failed. The layer that made it has decided on its retries.
	NestedFailure bool
	// Overload is true for a rejection by a limit.
	Overload   bool
	Idempotent bool
	// Terminal is true when another endpoint would give the same response, for example
	// because the request is too large or crashes upstreams.
	Terminal  bool
	Remaining time.Duration // until the deadline of the call
}

// Verdict is the decision on a failed attempt.
type Verdict uint8

// The verdicts.
const (
	GiveUp  Verdict = iota
	Reroute         // try another endpoint without using the budget
	Retry           // retry if the budget allows it
)

// minRemaining is the least remaining time in which another attempt is worthwhile.
const minRemaining = 2 * time.Millisecond

// Decide returns what to do after a failed attempt. It does not use the budget.
func Decide(a Attempt) Verdict {
	if a.Terminal || a.NestedFailure || a.Remaining < minRemaining {
		return GiveUp
	}
	if a.NotRun && a.Unreached {
		if a.Reroutes < MaxReroutes {
			return Reroute
		}
		return GiveUp
	}
	if !a.NotRun && !a.Idempotent {
		return GiveUp
	}
	if a.Number-a.Reroutes >= MaxAttempts {
		return GiveUp
	}
	return Retry
}

// TakeSaved uses one retry and reports whether the budget has one. Unlike Take, it
// allows none outside the budget.
func (b *Budget) TakeSaved() bool {
	cost := 1 + b.percent/100
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}
