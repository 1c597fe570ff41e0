package soak

import (
	"time"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// nodeObserver records what happens to the upstream of a node.
type nodeObserver struct {
	run  *run
	node int
}

func (o nodeObserver) received(s platformtest.ReceivedRequest) {
	o.run.observations.recordArrival(arrival{
		id: s.ID, path: s.Path, node: o.node, at: time.Now(), organisation: s.Organisation, hasKey: s.HasKey, health: s.Health, misdirected: s.Misdirected,
	})
}

func (o nodeObserver) began(id string, work time.Duration) {
	now := time.Now()
	o.run.losses.recordExecution(id, execution{node: o.node, began: now, until: now.Add(work)})
	o.run.checks.recordRun(id, o.node)
}

// crashed records the end of an upstream by a request. It returns the function to call once the upstream is back.
func (o nodeObserver) crashed(path string) (restarted func()) {
	from := time.Now()
	o.run.crashes.record(path)
	record := func() { o.run.losses.recordDisturbance(o.node, Crash, from) }
	record() // the run may end before the upstream is back
	return record
}

func (o nodeObserver) replaced(sameID bool, coldUntil time.Time) {
	o.run.coldPhases.replaced(o.node, sameID, coldUntil)
}

func (o nodeObserver) announcedCold(until time.Time) { o.run.coldPhases.begin(o.node, until) }
