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

// Tenant is an owner of calls.
type Tenant struct {
	Name   string
	Weight int
}

// Options of a run.
type Options struct {
	Entries       []string // entry addresses, used in turn
	Direct        []string // upstream addresses for paired calls; empty: no pairs
	DirectEvery   int      // every nth call that is not keyed is paired
	Rate          float64  // calls per second
	Duration      time.Duration
	Warmup        time.Duration // calls of this first part are not in the latency figures
	Timeout       time.Duration // of one attempt
	Routes        []Route
	Tenants       []Tenant
	Host          string  // Host header; empty: the entry's address
	ResendShare   float64 // share of keyed calls that are sent again through another entry after their answer
	MaxResends    int     // attempts after a lost connection or an unknown outcome, where a repetition is safe
	ResponseBytes int
	MaxInFlight   int // calls beyond it are skipped and counted
	Seed          uint64
}

// Defaults of Options.
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
