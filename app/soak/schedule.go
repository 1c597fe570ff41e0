package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// Kinds of faults.
const (
	Kill            Kind = "kill"         // SIGKILL; the process starts again after Length
	Pause           Kind = "pause"        // SIGSTOP for Length
	Stop            Kind = "stop"         // SIGTERM; the process starts again Length after it has ended
	Reload          Kind = "reload"       // SIGHUP
	Wipe            Kind = "wipe"         // a control host is killed and starts again with an empty data directory
	KillAllControls Kind = "kill-control" // all control hosts are killed at the same time and keep their data directories
	Replace         Kind = "replace"      // the upstream is replaced by a new process with the same or another instance id
	Leave           Kind = "leave"        // the upstream drains and a new process replaces it
	SlowLink        Kind = "slow-link"    // connections are delayed for Length
	HoldAnswers     Kind = "hold-answers" // data from the target is held for Length
	Silence         Kind = "silence"      // open connections drop all further data
	Reset           Kind = "reset"        // open connections are reset
)

var kinds = []Kind{Kill, Pause, Stop, Reload, Wipe, KillAllControls, Replace, Leave, SlowLink, HoldAnswers, Silence, Reset}

// Event is one fault of a schedule.
type Event struct {
	At     time.Duration // since the start of the schedule
	Kind   Kind
	Target int // index of a node, or of a control host if Control is set
	// Control reports whether the target is a control host.
	Control bool
	// Callers reports whether a connection fault affects the connections from callers to the
	// node; otherwise it affects those from the node to its upstream.
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

// Schedule returns the faults of a seed in the order of their times. Faults may overlap,
// but at most one control host is disturbed at a time, except by KillAllControls, which
// kills all of them and keeps their data directories.
func Schedule(seed uint64, length time.Duration, nodes, controls int) []Event {
	random := rand.New(rand.NewPCG(seed, 7))
	var events []Event
	nextControl := time.Duration(0)
	for at := time.Duration(0); at < length; at += time.Duration(200+random.IntN(900)) * time.Millisecond {
		e := Event{At: at, Kind: kinds[random.IntN(len(kinds))], Length: time.Duration(100+random.IntN(2500)) * time.Millisecond}
		e.Control = e.Kind == Wipe || e.Kind == KillAllControls || (random.IntN(3) == 0 && (e.Kind == Kill || e.Kind == Pause || e.Kind == Stop || e.Kind == Reload))
		e.Target = random.IntN(nodes)
		switch e.Kind {
		case SlowLink, HoldAnswers, Silence, Reset:
			e.Callers = random.IntN(2) == 0
		}
		if e.Control {
			if at < nextControl {
				continue
			}
			e.Target = random.IntN(controls)
			nextControl = at + e.Length + controlRecovery
		}
		events = append(events, e)
	}
	return events
}

// controlRecovery is the time that a control host has to catch up before the next one is
// disturbed.
const controlRecovery = 4 * time.Second
