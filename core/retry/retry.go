package retry

import "time"

const (
	// MaxDepth bounds the layers of nested calls.
	MaxDepth = 28
	// MaxAttempts bounds the attempts of one call, the first one included.
	MaxAttempts = 3
	// MaxRedirects bounds how often a call moves on, outside the budget, from an
	// endpoint that accepted no request at all. Such an endpoint is avoided at
	// once, so that these attempts do not add load to it.
	MaxRedirects = 4

	defaultPercent = 10
	// minInterval lets a service with few calls retry at all: one retry is
	// allowed when none was for this long.
	minInterval = time.Second
	// burst bounds the retries that a quiet time saves up.
	burst = 20.0
)

// Budget limits retries to a share of the calls of one service. It is not safe
// for concurrent use.
type Budget struct {
	percent float64
	burst   float64
	tokens  float64
	last    time.Time // last retry
}

// NewBudget returns a budget in percent of calls; 0 selects the default.
func NewBudget(percent uint32) *Budget {
	return NewBudgetWithBurst(percent, burst)
}

// NewBudgetWithBurst returns a budget that saves up at most so many retries.
func NewBudgetWithBurst(percent uint32, burst float64) *Budget {
	b := &Budget{burst: burst}
	b.SetPercent(percent)
	return b
}

// SetPercent changes the share of calls that may be repeated; 0 selects the default.
func (b *Budget) SetPercent(percent uint32) {
	if percent == 0 {
		percent = defaultPercent
	}
	b.percent = float64(percent)
}

// CountCall counts one call of a caller.
func (b *Budget) CountCall() { b.tokens = min(b.tokens+b.percent/100, b.burst) }

// Take uses one retry if the budget has one. A retry also costs the share that
// its call brought in, so that calls and retries together stay below the share.
func (b *Budget) Take(now time.Time) bool {
	cost := 1 + b.percent/100
	switch {
	case b.tokens >= cost:
		b.tokens -= cost
	case now.Sub(b.last) < minInterval:
		return false
	}
	b.last = now
	return true
}

// Attempt is a failed attempt as the decision needs it.
type Attempt struct {
	Number    int // 1 for the first
	Redirects int // attempts so far that no endpoint accepted
	// NotRun is true when it is certain that no upstream got a byte of the request.
	NotRun bool
	// Unreached is true when the endpoint took no request: it is leaving, closed or refuses connections.
	Unreached bool
	// FailedBelow is true when the failure comes from a deeper layer.
	FailedBelow bool
	// Overload is true for a rejection by a limit.
	Overload   bool
	Idempotent bool
	// Terminal is true when another endpoint would answer the same, for example
	// because the request is too large or crashes upstreams.
	Terminal  bool
	Remaining time.Duration
}

// Verdict of a failed attempt.
type Verdict uint8

// Verdicts.
const (
	GiveUp   Verdict = iota
	Redirect         // try another endpoint outside the budget
	Repeat           // try again if the budget has a retry
)

// minRemaining is the least time that makes another attempt worthwhile.
const minRemaining = 2 * time.Millisecond

// Decide judges a failed attempt.
func Decide(a Attempt) Verdict {
	if a.Terminal || a.FailedBelow || a.Remaining < minRemaining {
		return GiveUp
	}
	if a.NotRun && a.Unreached {
		if a.Redirects < MaxRedirects {
			return Redirect
		}
		return GiveUp
	}
	if !a.NotRun && !a.Idempotent {
		return GiveUp
	}
	if a.Number-a.Redirects >= MaxAttempts {
		return GiveUp
	}
	return Repeat
}

// TakeSaved uses one retry only if calls have brought it in.
func (b *Budget) TakeSaved() bool {
	cost := 1 + b.percent/100
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}
