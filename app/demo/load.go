package demo

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/rattanfield/rattanfield/app/loadgen"
)

const (
	pairEvery      = 4 // every nth call without a key
	resendShare    = 0.1
	callTimeout    = 3 * time.Second
	loadRun        = 5 * time.Minute // ended by the demo
	steadyDuration = 3 * time.Second
	steadyWarmup   = time.Second
)

var callRoutes = []loadgen.Route{
	{Method: "GET", Path: "/climbing-times/today", Weight: 8},
	{Method: "GET", Path: "/reservations/7", Weight: 3},
	{Method: "POST", Path: "/reservations", Weight: 2, Keyed: true, BodyBytes: 200},
	{Method: "GET", Path: "/fares/7", Weight: 5},
	{Method: "POST", Path: "/fares", Weight: 3, Keyed: true, BodyBytes: 100},
}

var callTenants = []loadgen.Tenant{{Name: "hotel-desk", Weight: 4}, {Name: "cruise-liaison", Weight: 3}, {Name: "guide", Weight: 2}}

// versionLog counts the calls that each version answered.
type versionLog struct {
	mu     sync.Mutex
	calls  map[string]int
	tills  int
	failed int // calls that another than the bad version failed
}

func (v *versionLog) observe(r *loadgen.Result) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.calls[r.Version]++
	if r.Outcome == loadgen.Failed && r.Version != versionBad {
		v.failed++
	}
	if strings.Contains(r.Route, " /fares") {
		v.tills++
	}
}

// of returns the calls that a version answered, and all calls of tills.
func (v *versionLog) of(version string) (calls, tills int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.calls[version], v.tills
}

func (d *demo) loadOptions() loadgen.Options {
	return loadgen.Options{
		Entries: d.layout.callerEntries(), Rate: d.options.Rate, Duration: loadRun, Timeout: callTimeout,
		Routes: callRoutes, Tenants: callTenants, ResendShare: resendShare, Seed: d.options.Seed,
	}
}

// steady measures the added latency while nothing changes.
func (d *demo) steady(ctx context.Context) {
	o := d.loadOptions()
	o.Duration, o.Warmup = steadyDuration, steadyWarmup
	o.Direct, o.DirectEvery = d.layout.upstreams(serviceBookings, versionOld), pairEvery
	d.steadyLoad = loadgen.Run(ctx, o, nil)
}

// background sends calls until the returned function is called.
func (d *demo) background(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	o := d.loadOptions()
	o.Seed++
	go func() {
		defer close(done)
		d.load = loadgen.Run(ctx, o, func(r *loadgen.Result) {
			d.versions.observe(r)
			if r.FirstLoss != nil {
				d.say("%s was repeated: %v", r.Route, r.FirstLoss)
			}
		})
	}()
	return func() {
		cancel()
		<-done
	}
}
