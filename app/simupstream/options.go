package simupstream

import (
	"strings"
	"time"
)

// Options configure a simulated upstream.
type Options struct {
	Service        string
	Version        string
	Address        string // announced IP:port
	Instance       string // changes with every start
	NodeAdmin      string // admin address of the node; empty: no announcements
	Slots          int    // requests that run concurrently
	Queue          int    // requests that wait for a slot; further ones are rejected with 503
	MaxConnections int

	Latency         time.Duration // fixed part of the run time
	ExpLatency      time.Duration // mean of the exponentially distributed part of the run time
	ConnectionCost  time.Duration // added to the first request of a connection
	ColdStart       time.Duration // time from the start until full speed
	ColdFactor      float64       // run time factor at the start; falls linearly to 1 over ColdStart
	Faults          []Fault
	FaultAfter      time.Duration // faults are active after this time
	FaultAfterCalls uint64        // and after this number of requests

	CrashPath   string        // path prefix of requests that crash the process
	FalseHealth bool          // /healthz reports an untrue value: ok, even while draining
	FalseLoad   bool          // /v1/load reports untrue values: always an idle upstream
	Drain       time.Duration // bound of the drain after a stop
	Seed        uint64
}

// Fault makes requests whose path has a prefix fail or take longer.
type Fault struct {
	PathPrefix string
	ErrorRate  float64 // fraction of requests that are answered with status 500
	SlowFactor float64 // factor of the run time; 0 means 1
}

// covers reports whether the fault applies to a path.
func (f Fault) covers(path string) bool { return strings.HasPrefix(path, f.PathPrefix) }
