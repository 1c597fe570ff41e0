package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind of a fault.
type Kind string

// Kinds of faults.
const (
	Kill        Kind = "kill"         // SIGKILL, started again after Length
	Pause       Kind = "pause"        // SIGSTOP for Length
	Stop        Kind = "stop"         // SIGTERM, started again after it has ended
	Reload      Kind = "reload"       // SIGHUP
	Wipe        Kind = "wipe"         // a control host is killed and comes back with an empty disk
	KillControl Kind = "kill-control" // all control hosts are killed at once
	Replace     Kind = "replace"      // the upstream is replaced by a new process under the same or another id
	Leave       Kind = "leave"        // the upstream drains and a new one follows
	SlowLink    Kind = "slow-link"    // connections are delayed for Length
	HoldAnswers Kind = "hold-answers" // the way back is cut for Length
	Silence     Kind = "silence"      // open connections pass nothing any more, for good
	Reset       Kind = "reset"        // open connections are reset
)

var kinds = []Kind{Kill, Pause, Stop, Reload, Wipe, KillControl, Replace, Leave, SlowLink, HoldAnswers, Silence, Reset}

// Event of a schedule.
type Event struct {
	At     time.Duration
	Kind   Kind
	Target int // index of a node, or of a control host for kinds that concern one
	// Control tells that the target is a control host.
	Control bool
	// Callers tells that a fault of connections concerns those of callers to the node, not those
	// of the node to its upstream.
	Callers bool
	Length  time.Duration
}

func (e Event) String() string {
	side := "node"
	switch {
	case e.Control:
		side = "control"
	case e.Callers:
		side = "callers of node"
	}
	return fmt.Sprintf("%v %s %s %d for %v", e.At, e.Kind, side, e.Target, e.Length)
}

// Schedule of a seed: faults in series and overlapping. At most one control
// host is disturbed at a time, except when all are killed with their disks kept.
func Schedule(seed uint64, length time.Duration, nodes, controls int) []Event {
	random := rand.New(rand.NewPCG(seed, 7))
	var out []Event
	controlFree := time.Duration(0)
	for at := time.Duration(0); at < length; at += time.Duration(200+random.IntN(900)) * time.Millisecond {
		e := Event{At: at, Kind: kinds[random.IntN(len(kinds))], Length: time.Duration(100+random.IntN(2500)) * time.Millisecond}
		e.Control = e.Kind == Wipe || e.Kind == KillControl || (random.IntN(3) == 0 && (e.Kind == Kill || e.Kind == Pause || e.Kind == Stop || e.Kind == Reload))
		e.Target = random.IntN(nodes)
		switch e.Kind {
		case SlowLink, HoldAnswers, Silence, Reset:
			e.Callers = random.IntN(2) == 0
		}
		if e.Control {
			if at < controlFree {
				continue
			}
			e.Target = random.IntN(controls)
			controlFree = at + e.Length + controlRest
		}
		out = append(out, e)
	}
	return out
}

// controlRest lets a control host catch up before the next one is disturbed.
const controlRest = 4 * time.Second
