package intake

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Costs of a request for a process with a third of a core, and its clients. Measured on bentau-pier: such a process reads and answers
// about 2,000 new connections per second, and rejects over 7,000 in turn.
const (
	serveCost  = 500 * time.Microsecond
	rejectCost = 130 * time.Microsecond
	upstreams  = 350                     // requests per second that upstreams run; the others are rejected for lack of capacity
	patience   = time.Second             // after which a client leaves and comes back
	budget     = 2500 * time.Millisecond // after which it does not come back
	repeats    = 6                       // of a client, at once
)

// try is one connection of a client.
type try struct {
	arrived, deadline time.Duration // of the connection, and of all tries of the client
	repeats           int           // that are left
}

// result counts clients by what they got in the end, and the tries that ended without any answer.
type result struct {
	served, rejected, unanswered int
	triesWithoutAnswer           int
	longestWait                  time.Duration // of a connection that was read while its client was there
}

// simulate plays a crowd of new clients per second. A process accepts one connection after the other. rejecting tells whether it follows a
// Queue or reads all in their order.
func simulate(perSecond int, length time.Duration, rejecting bool) (r result) {
	random := rand.New(rand.NewPCG(1, 2))
	var waiting []try // by arrival
	next, now, served := time.Duration(0), time.Duration(0), 0
	var q Queue
	again := func(t try, answered bool) {
		switch {
		case t.repeats > 0 && now < t.deadline:
			waiting = append(waiting, try{arrived: now, deadline: t.deadline, repeats: t.repeats - 1})
		case answered:
			r.rejected++
		default:
			r.unanswered++
		}
	}
	rejects := false
	for now < length+2*budget {
		for ; next <= now && next < length; next += time.Duration(random.ExpFloat64() * float64(time.Second) / float64(perSecond)) {
			waiting = append(waiting, try{next, next + budget, repeats})
		}
		if len(waiting) == 0 {
			q.Empty()
			rejects = false
			now += time.Millisecond
			continue
		}
		rejects = rejecting && (rejects || q.Rejects(start.Add(now)))
		t := waiting[0]
		waiting = waiting[1:]
		q.Accepted(start.Add(now))
		hasLeft := min(t.arrived+patience, t.deadline) <= now
		if !hasLeft {
			r.longestWait = max(r.longestWait, now-t.arrived)
		}
		rejected := rejects && (hasLeft || !q.ServesNext())
		if rejected {
			now += rejectCost
		} else {
			now += serveCost
		}
		switch {
		case hasLeft:
			r.triesWithoutAnswer++
			again(t, false)
		case !rejected && float64(served) < upstreams*now.Seconds():
			served++
			r.served++
		default:
			again(t, true)
		}
	}
	return r
}

// Guards against a process that answers nobody in time because it reads its queue in order: clients that leave or are rejected come back,
// until most of those that it accepts have left. Load: 1,000 clients per second, of whom upstreams can serve 350.
func TestCrowdGetsAnswersInTime(t *testing.T) {
	is := is.New(t)
	const perSecond, length = 1000, 10 * time.Second
	inOrder, rejecting := simulate(perSecond, length, false), simulate(perSecond, length, true)
	t.Logf("in order: %+v", inOrder)
	t.Logf("rejecting: %+v", rejecting)
	is.True(inOrder.triesWithoutAnswer > inOrder.served) // the baseline fails
	is.Equal(rejecting.triesWithoutAnswer, 0)
	is.Equal(rejecting.unanswered, 0)
	is.True(rejecting.longestWait <= 2*MaxWait)
	is.True(rejecting.served >= inOrder.served)
}

// Guards against a process that serves nothing while it can't reject all in time: its queue never empties. Load: 3,000 clients per second, who
// connect nearly three times as often as it can reject.
func TestQueueThatNeverEmptiesStopsNoService(t *testing.T) {
	is := is.New(t)
	const perSecond, length = 3000, 10 * time.Second
	r := simulate(perSecond, length, true)
	t.Logf("%+v", r)
	is.True(r.served > upstreams*int(length/time.Second)/4)
}

// Guards against rejections by a process that keeps up, at nine tenths of what upstreams can serve.
func TestProcessThatKeepsUpRejectsNothing(t *testing.T) {
	is := is.New(t)
	const perSecond, length = upstreams * 9 / 10, 10 * time.Second
	inOrder, rejecting := simulate(perSecond, length, false), simulate(perSecond, length, true)
	t.Logf("%+v", rejecting)
	is.Equal(rejecting, inOrder)
	is.True(rejecting.longestWait < MaxWait)
}
