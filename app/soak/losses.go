package soak

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// outcome is how a request of a caller ended.
type outcome string

const (
	answered outcome = "answered" // with the response of an upstream
	refused  outcome = "refused"  // with a response of the node that says that it did not run
	failed   outcome = "failed"   // with another response of the node
	cut      outcome = "cut"      // its connection ended without a complete response
	gaveUp   outcome = "gave up"  // the caller closed the connection at the time limit
)

// sentRequest is a request of a caller with its outcome.
type sentRequest struct {
	id          string
	node        int // whose entry received it
	sent, ended time.Time
	limit       time.Duration
	outcome     outcome
	// read reports whether the node had read the request when its connection ended. It is set only
	// for requests that were alone on their connection: the rules allow that others remain unread.
	read bool
	// delays are the delays of timers while the request was outstanding, see timerDelays.
	delays time.Duration
}

// execution is the run of a request on an upstream.
type execution struct {
	node         int
	began, until time.Time // until is when the upstream ends the work, whether or not somebody waits
}

// span is a time in which a node was stopped (since its SIGTERM) or disturbed.
type span struct {
	node     int
	from, to time.Time
}

// lastLoss returns the time until which the loss of a request counts as one by this stop.
func (s span) lastLoss() time.Time {
	last := s.from.Add(platformtest.Grace + stopSlack)
	if end := s.to.Add(stopSlack); end.After(last) { // the stop was extended, see timerDelays
		return end
	}
	return last
}

// Bounds of the users' rules on requests that are lost around a planned stop.
const (
	// lossSlack is the time after which the connection of a request that was read must not end
	// without a response even if no upstream received it. A close may cross a request before.
	lossSlack = 200 * time.Millisecond
	// stopSlack extends the time after SIGTERM in which a lost request counts beyond the grace time.
	stopSlack = time.Second
	// lastShare is the share of the grace time from which on an upstream that is still at work
	// excuses the loss of its request, if that was sent at most earlyEnough after SIGTERM.
	lastShare   = 5.0 / 6
	earlyEnough = 3 * time.Second
	// contact is the time for which a disturbance excuses what happens after it.
	contact = 3 * time.Second
	// limitSlack is the time before its limit from which on a request counts as ended by the limit. The
	// node measures the limit by its own clock, in whole milliseconds.
	limitSlack = 50 * time.Millisecond
)

// losses records the requests of callers, the executions by upstreams, and stops and disturbances
// of nodes. It finds the requests that were lost although they had reached an upstream.
type losses struct {
	mu           sync.Mutex
	requests     []sentRequest
	executions   map[string][]execution // by request id
	stops        []span
	disturbances []span
	pauses       []span // of processes; among the disturbances too
	clock        clock
	overdue      []span // stops of processes that were killed at the end of the grace time
}

func newLosses() *losses { return &losses{executions: make(map[string][]execution)} }

func (l *losses) recordRequest(q sentRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, q)
}

func (l *losses) recordExecution(id string, e execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[id] = append(l.executions[id], e)
}

// recordStop records a stop that has ended. killed reports whether the process had to be killed.
// A stop during which SIGTERM was sent more than once is recorded once.
func (l *losses) recordStop(node int, signalled time.Time, killed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := span{node: node, from: signalled, to: time.Now()}
	if !slices.ContainsFunc(l.stops, func(o span) bool { return o.node == node && o.from.Equal(signalled) }) {
		l.stops = append(l.stops, s)
	}
	if killed {
		l.overdue = append(l.overdue, s)
	}
}

// recordDisturbance records a disturbance of a node or of the connections to its upstream, which
// ends now.
func (l *losses) recordDisturbance(node int, of Kind, from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := span{node: node, from: from, to: time.Now()}
	l.disturbances = append(l.disturbances, s)
	if of == Pause {
		l.pauses = append(l.pauses, s)
	}
}

// isDisturbed reports whether any of the nodes was disturbed from contact before a time until another.
func (l *losses) isDisturbed(nodes []int, from, to time.Time) bool {
	return slices.ContainsFunc(l.disturbances, func(d span) bool {
		return slices.Contains(nodes, d.node) && d.from.Before(to) && d.to.After(from.Add(-contact))
	})
}

// lossOf returns a description of the loss of a request, or "" if it was not lost or the loss is
// excused. The caller holds mu.
func (l *losses) lossOf(q sentRequest) string {
	if (q.outcome != cut && q.outcome != failed) || q.ended.Sub(q.sent) >= q.limit-limitSlack {
		return ""
	}
	runs := l.executions[q.id]
	nodes := []int{q.node}
	for _, r := range runs {
		nodes = append(nodes, r.node)
	}
	if l.isDisturbed(nodes, q.sent, q.ended) {
		return ""
	}
	stop := ""
	for _, s := range l.stops {
		if q.ended.Before(s.from) || q.ended.After(s.lastLoss()) || !slices.Contains(nodes, s.node) {
			continue
		}
		late := s.from.Add(time.Duration(lastShare * float64(platformtest.Grace)))
		if !q.ended.Before(late) && !q.sent.After(s.from.Add(earlyEnough)) && slices.ContainsFunc(runs, func(r execution) bool { return r.until.After(late) }) {
			return ""
		}
		if s.node == q.node {
			stop = fmt.Sprintf("sent %.3f s and ended %.3f s after SIGTERM", q.sent.Sub(s.from).Seconds(), q.ended.Sub(s.from).Seconds())
		}
	}
	var why string
	switch {
	case len(runs) == 0: // a close without a response counts only during a stop and after lossSlack
		if stop == "" || !q.read || q.ended.Sub(q.sent) <= lossSlack+q.delays {
			return ""
		}
		why = "the node had read it"
	case q.outcome == failed && (stop == "" || !slices.ContainsFunc(runs, func(r execution) bool { return r.began.Before(q.ended) && r.until.After(q.ended) })):
		return "" // a response of the node is a loss only if a stop ends a request that an upstream works on
	default:
		last := runs[len(runs)-1]
		why = fmt.Sprintf("upstream %d began it after %.3f s and needs %.3f s", last.node, last.began.Sub(q.sent).Seconds(), last.until.Sub(last.began).Seconds())
	}
	return fmt.Sprintf("request %s to node %d was %s %s after %.3f s of %.3f s (%s), although %s",
		q.id, q.node, q.outcome, l.clock.at(q.ended), q.ended.Sub(q.sent).Seconds(), q.limit.Seconds(), cmp.Or(stop, "no stop"), why)
}

// StopCounts are the counts of a run's stops and of the requests that were sent during them.
type StopCounts struct {
	Stops    int
	Sent     int // after SIGTERM to the process that received them
	Executed int // of these, reached an upstream
	Refused  int
	Cut      int
	Lost     int // violations among all requests
	Longest  time.Duration
	// Delay is the longest delay of a timer of the soak itself, see timerDelays.
	Delay time.Duration
}

// judge returns the violations and the counts of the stops. It is called after the end of all
// faults and callers.
func (l *losses) judge() (violations []string, n StopCounts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.overdue {
		paused := slices.ContainsFunc(l.pauses, func(p span) bool { return p.node == s.node && p.from.Before(s.to) && p.to.After(s.from) })
		if !paused {
			violations = append(violations, fmt.Sprintf("node %d had to be killed %v after SIGTERM %s", s.node, platformtest.Grace, l.clock.at(s.from)))
		}
	}
	n.Stops = len(l.stops)
	for _, s := range l.stops {
		n.Longest = max(n.Longest, s.to.Sub(s.from))
	}
	for _, q := range l.requests {
		if slices.ContainsFunc(l.stops, func(s span) bool { return s.node == q.node && q.sent.After(s.from) && q.sent.Before(s.to) }) {
			n.Sent++
			if len(l.executions[q.id]) > 0 {
				n.Executed++
			}
			switch q.outcome {
			case refused:
				n.Refused++
			case cut:
				n.Cut++
			}
		}
		if loss := l.lossOf(q); loss != "" {
			n.Lost++
			violations = append(violations, loss)
		}
	}
	return violations, n
}
