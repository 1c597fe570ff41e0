package simupstream

import (
	"strings"
	"time"
)

// Options describe a simulated upstream.
type Options struct {
	Service        string
	Version        string
	Address        string // IP:port that is announced
	Instance       string // changes with every start
	NodeAdmin      string // admin address of the node; empty: no announcements
	Slots          int    // requests that run concurrently
	Queue          int    // requests that wait for a slot; more are shed with 503
	MaxConnections int

	Latency         time.Duration // fixed part of the run time
	ExpLatency      time.Duration // mean of an exponentially distributed part
	ConnectionCost  time.Duration // added to the first request of a connection
	ColdStart       time.Duration // time until full speed
	ColdFactor      float64       // run time factor at the start, falling linearly to 1
	Faults          []Fault
	FaultAfter      time.Duration // faults begin after this time
	FaultAfterCalls uint64        // and after this number of requests

	CrashPath   string // path prefix whose requests end the process
	FalseHealth bool   // /healthz answers ok whatever the state is
	FalseLoad   bool   // /v1/load reports an idle upstream
	Drain       time.Duration
	Seed        uint64
}

// Fault makes the requests of a route fail or slow.
type Fault struct {
	PathPrefix string
	ErrorRate  float64 // share of requests that are answered 500
	SlowFactor float64 // factor on the run time; 0 means 1
}

// covers reports whether the fault concerns a path.
func (f Fault) covers(path string) bool { return strings.HasPrefix(path, f.PathPrefix) }
