package transfer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var base = time.Unix(1000, 0)

const linkRate = 1_000_000 // bytes per second

// Load: uploads of 60 KB arrive at twice the rate that the link carries. Guards against a queue on the link that grows without
// bound, so that all uploads are late and the messages of the control plane wait behind them.
func TestOverloadedLinkKeepsItsBacklogShort(t *testing.T) {
	is := is.New(t)
	l := New(linkRate)
	const size, maxWait = 60_000, 300 * time.Millisecond
	sent, latest := int64(0), time.Duration(0)
	for i := range 330 { // 10 s
		now := base.Add(time.Duration(i) * 30 * time.Millisecond)
		b := Body{Bytes: size, MaxWait: maxWait, LatestEnd: now.Add(time.Second)}
		start, ok := l.Admit(now, b)
		if !ok {
			continue
		}
		sent += size
		latest = max(latest, start.Sub(now))
		l.End(b, false)
	}
	is.True(latest <= maxWait)
	is.True(sent <= bodyShare*linkRate*11) // the rest of the link stays free
	is.True(sent >= bodyShare*linkRate*9)  // and its share is used
}

// Guards against a body that is admitted although it cannot arrive in time, and against one that is rejected because an earlier
// one was cancelled.
func TestBodyThatCannotArriveInTime(t *testing.T) {
	is := is.New(t)
	l := New(linkRate)
	large := Body{Bytes: 750_000, MaxWait: time.Second, LatestEnd: base.Add(1100 * time.Millisecond)}
	_, ok := l.Admit(base, large)
	is.True(ok) // takes 1 s
	_, ok = l.Admit(base, Body{Bytes: 75_000, MaxWait: 2 * time.Second, LatestEnd: base.Add(time.Second)})
	is.True(!ok)
	l.End(large, true)
	_, ok = l.Admit(base, Body{Bytes: 75_000, MaxWait: 0, LatestEnd: base.Add(time.Second)})
	is.True(ok)
}

// Guards against further bodies on a link that is slower than stated, whose admitted bodies have not arrived.
func TestSlowLinkAdmitsLess(t *testing.T) {
	is := is.New(t)
	l := New(linkRate)
	for i := range 10 { // 100 ms each at the stated rate; none arrives
		_, ok := l.Admit(base.Add(time.Duration(i)*100*time.Millisecond), Body{Bytes: 75_000, MaxWait: 200 * time.Millisecond, LatestEnd: base.Add(time.Hour)})
		if i < 2 {
			is.True(ok)
		}
		if i > 5 {
			is.True(!ok)
		}
	}
}
