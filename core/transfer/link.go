// Package transfer is the admission control of the link of one node for large request bodies. Bodies that arrive
// faster than the link carries them would fill its queue, in which everything else waits too: small requests,
// responses and the messages of the control plane. The package does no I/O and reads no clock.
package transfer

import "time"

const (
	// bodyShare is the share of the link that large bodies may use. The rest is for everything else.
	bodyShare = 0.75
	// overlap is how long before the link has finished a body the next one may start, so that the link does not idle for the
	// round trip that the permission takes between regions.
	overlap = 60 * time.Millisecond
	// lagTolerance is how far the arrival of bodies may lag behind the schedule: a round trip between regions and the time
	// that a body needs at the share of the link.
	lagTolerance = 150 * time.Millisecond
)

// Link schedules the bodies that arrive over one link. It is not safe for concurrent use.
type Link struct {
	rate    float64   // bytes per second that bodies may use
	freeAt  time.Time // when the admitted bodies will have arrived at that rate
	arrival int64     // bytes of admitted bodies that have not ended
}

// New returns the schedule of a link with this number of bytes per second, above 0.
func New(bytesPerSecond float64) *Link { return &Link{rate: bodyShare * bytesPerSecond} }

// Body is a request body that is about to be sent.
type Body struct {
	Bytes int64
	// MaxWait is the longest wait until the body starts that still leaves enough time, and LatestEnd the time by which it must
	// have arrived.
	MaxWait   time.Duration
	LatestEnd time.Time
}

// Admit returns when a body may be sent, or false if it must be rejected. End must be called for one that is admitted.
func (l *Link) Admit(now time.Time, b Body) (start time.Time, ok bool) {
	begin := l.freeAt
	if behind := now.Add(l.duration(l.arrival) - lagTolerance); behind.After(begin) {
		begin = behind // bodies arrive more slowly than expected
	}
	if begin.Before(now) {
		begin = now
	}
	end := begin.Add(l.duration(b.Bytes))
	if begin.Sub(now) > max(b.MaxWait, 0) || end.After(b.LatestEnd) {
		return time.Time{}, false
	}
	l.freeAt, l.arrival = end, l.arrival+b.Bytes
	return begin.Add(-overlap), true
}

// End records that an admitted body has arrived. cancelled tells that it was not sent, so that its time on the link is free.
func (l *Link) End(b Body, cancelled bool) {
	l.arrival -= b.Bytes
	if cancelled {
		l.freeAt = l.freeAt.Add(-l.duration(b.Bytes))
	}
}

func (l *Link) duration(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / l.rate * float64(time.Second))
}
