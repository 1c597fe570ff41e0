package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// Kinds of faults.
const (
	Kill            Kind = "kill"         // SIGKILL; the process starts again after Length
	Pause           Kind = "pause"        // SIGSTOP for Length
	Stop            Kind = "stop"         // SIGTERM and, after the grace time, SIGKILL; the process starts again Length after it has ended
	StopDomain      Kind = "stop-domain"  // Stop of all nodes of the target's failure domain within Spread
	StopSite        Kind = "stop-site"    // Stop of all nodes within Spread
	Reload          Kind = "reload"       // SIGHUP
	Wipe            Kind = "wipe"         // a control host is killed and starts again with an empty data directory
	KillAllControls Kind = "kill-control" // all control hosts are killed at the same time and keep their data directories
	Replace         Kind = "replace"      // the upstream is replaced by a new process with the same or another instance id
	Leave           Kind = "leave"        // the upstream drains and a new process replaces it
	SlowLink        Kind = "slow-link"    // connections are delayed for Length
	HoldAnswers     Kind = "hold-answers" // data from the target is held for Length
	Silence         Kind = "silence"      // open connections drop all further data
	Reset           Kind = "reset"        // open connections are reset
	Evacuate        Kind = "evacuate"     // the evacuation of the target's failure domain is ordered, and withdrawn Length after it was acknowledged
	Crash           Kind = "crash"        // for Length, a request comes again and again that ends the upstreams which run it
)

// kinds are the kinds that randomFaults draws from.
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
	// Spread is the time between the first and the last SIGTERM of StopDomain and StopSite.
	Spread time.Duration
	// Again reports whether the nodes of StopDomain or StopSite are stopped a second time, Length
	// after they started.
	Again bool
}

func (e Event) String() string {
	side := "node"
	switch {
	case e.Control:
		side = "control"
	case e.Callers:
		side = "callers of node"
	}
	text := fmt.Sprintf("%v %s %s %d for %v", e.At, e.Kind, side, e.Target, e.Length)
	if e.Kind == StopDomain || e.Kind == StopSite {
		text += fmt.Sprintf(" within %v", e.Spread)
	}
	if e.Again {
		text += ", twice"
	}
	return text
}

// isDisturbance reports whether the event disturbs a node or the connections to its upstream in
// another way than planned work does. Callers connect to nodes without the links of the clients.
func (e Event) isDisturbance() bool {
	switch e.Kind {
	case Kill, Pause, Replace:
		return !e.Control
	case SlowLink, HoldAnswers, Silence, Reset:
		return !e.Callers
	}
	return false
}

// stopsProcesses reports whether the event kills, pauses or stops processes.
func (e Event) stopsProcesses() bool {
	switch e.Kind {
	case Kill, Wipe, Stop, StopDomain, StopSite, Pause, KillAllControls:
		return true
	}
	return false
}

// Schedule returns the faults of a seed in the order of their times, with stops of several nodes, crashing requests and
// evacuations between them. Faults may overlap, but at most one control host is disturbed at a time, except by
// KillAllControls, which kills all of them and keeps their data directories.
func Schedule(seed uint64, length time.Duration, nodes, controls int) []Event {
	events := append(randomFaults(seed, length, nodes, controls), randomStops(seed, length, nodes, maxStopGap, []Kind{StopDomain, StopSite})...)
	events = append(events, randomCrashes(seed, length)...)
	events = append(events, randomEvacuations(seed, length, nodes)...)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// StopSchedule returns planned work of a seed in the order of its times: stops, reloads and leaving
// upstreams. Stops may overlap. Seeds differ in the time between the events.
func StopSchedule(seed uint64, length time.Duration, nodes int) []Event {
	gap := minStopGap + time.Duration(seed%4)*(maxStopGap-minStopGap)/4
	return randomStops(seed, length, nodes, gap, []Kind{Stop, Stop, StopDomain, StopDomain, StopSite, StopSite, Reload, Reload, Leave})
}

// Bounds of the mean time between planned events. A stop takes up to the grace time of 6 s: with the
// lower bound stops overlap, with the upper bound all nodes mostly serve between two stops.
const (
	minStopGap = 2500 * time.Millisecond
	maxStopGap = 10 * time.Second
	maxSpread  = 300 * time.Millisecond
)

// randomStops returns planned events of the given kinds with a mean time of gap between them.
func randomStops(seed uint64, length time.Duration, nodes int, gap time.Duration, of []Kind) []Event {
	random := rand.New(rand.NewPCG(seed, 11))
	var events []Event
	for at := time.Duration(0); ; {
		at += (gap/2 + time.Duration(random.Int64N(int64(gap)))).Round(time.Millisecond)
		if at >= length {
			return events
		}
		e := Event{At: at, Kind: of[random.IntN(len(of))], Target: random.IntN(nodes), Length: time.Duration(100+random.IntN(2500)) * time.Millisecond}
		if e.Kind == StopDomain || e.Kind == StopSite {
			e.Spread = time.Duration(random.Int64N(int64(maxSpread))).Round(time.Millisecond)
			e.Again = random.IntN(3) == 0
		}
		events = append(events, e)
	}
}

func randomFaults(seed uint64, length time.Duration, nodes, controls int) []Event {
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
