package demo

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/rattanfield/rattanfield/app/loadgen"
)

const (
	directEvery    = 4 // one of every 4 calls without a key is paired with a direct call
	resendShare    = 0.1
	callTimeout    = 3 * time.Second
	loadDuration   = 5 * time.Minute // upper bound; the demo ends the load earlier
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

// versionLog counts calls by the version that answered them.
type versionLog struct {
	mu         sync.Mutex
	calls      map[string]int // by version
	tillsCalls int            // calls of the service tills
	failed     int            // failed calls that the bad version did not answer
}

func (v *versionLog) observe(r *loadgen.Result) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.calls[r.Version]++
	if r.Outcome == loadgen.Failed && r.Version != versionBad {
		v.failed++
	}
	if strings.Contains(r.Route, " /fares") {
		v.tillsCalls++
	}
}

// counts returns the number of calls that a version answered, and of all calls of
// the service tills.
func (v *versionLog) counts(version string) (calls, tills int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.calls[version], v.tillsCalls
}

func (d *demo) loadOptions() loadgen.Options {
	return loadgen.Options{
		Entries: d.layout.callerEntries(), Rate: d.options.Rate, Duration: loadDuration, Timeout: callTimeout,
		Routes: callRoutes, Tenants: callTenants, ResendShare: resendShare, Seed: d.options.Seed,
	}
}

// measureLatency measures the latency that the system adds to direct calls, while
// the configuration does not change.
func (d *demo) measureLatency(ctx context.Context) {
	o := d.loadOptions()
	o.Duration, o.Warmup = steadyDuration, steadyWarmup
	o.Direct, o.DirectEvery = d.layout.upstreams(serviceBookings, versionOld), directEvery
	d.steadyLoad = loadgen.Run(ctx, o, nil)
}

// startLoad sends calls until stop is called, which waits for the end of the load.
func (d *demo) startLoad(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	o := d.loadOptions()
	o.Seed++
	go func() {
		defer close(done)
		d.load = loadgen.Run(ctx, o, func(r *loadgen.Result) {
			d.versions.observe(r)
			if r.FirstLoss != nil {
				d.logf("%s was resent by the caller: %v", r.Route, r.FirstLoss)
			}
		})
	}()
	return func() {
		cancel()
		<-done
	}
}
