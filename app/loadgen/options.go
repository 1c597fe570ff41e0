package loadgen

import "time"

// Route is one kind of call.
type Route struct {
	Method    string
	Path      string
	Weight    int
	Keyed     bool // sent with an Idempotency-Key; a resend uses the same key
	BodyBytes int  // of the request
}

// Tenant is a tenant in whose name calls are sent.
type Tenant struct {
	Name   string
	Weight int
}

// Options configure a run.
type Options struct {
	Entries       []string // entry addresses, used round robin
	Direct        []string // upstream addresses for paired calls; empty: no pairs
	DirectEvery   int      // every nth call that is not keyed is paired
	Rate          float64  // calls per second
	Duration      time.Duration
	Warmup        time.Duration // calls scheduled in this first part of the run are not in the latency figures
	Timeout       time.Duration // of one attempt
	Routes        []Route
	Tenants       []Tenant
	Host          string  // Host header; empty: the entry's address
	ResendShare   float64 // fraction of keyed calls that are sent again through another entry after their response
	MaxResends    int     // per call, after a lost connection or an unknown outcome, where a repetition is safe
	ResponseBytes int
	MaxInFlight   int // further calls are skipped and counted
	Seed          uint64
}

// Defaults that replace zero values in Options.
const (
	DefaultTimeout       = 2 * time.Second
	DefaultMaxInFlight   = 4096
	DefaultResponseBytes = 512
	DefaultMaxResends    = 2
)

func (o Options) withDefaults() Options {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = DefaultMaxInFlight
	}
	if o.ResponseBytes == 0 {
		o.ResponseBytes = DefaultResponseBytes
	}
	if o.MaxResends == 0 {
		o.MaxResends = DefaultMaxResends
	}
	if len(o.Routes) == 0 {
		o.Routes = []Route{{Method: "GET", Path: "/", Weight: 1}}
	}
	if len(o.Tenants) == 0 {
		o.Tenants = []Tenant{{Name: "default", Weight: 1}}
	}
	return o
}
