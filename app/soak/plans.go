package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// replacePlans replaces the plan until the context ends. It resends a plan without a clear
// answer to a randomly chosen control host, and reads the plan back from another.
func (r *run) replacePlans(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, 1<<40))
	base, number := uint64(0), uint64(1)
	for ctx.Err() == nil {
		plan := platformtest.Plan{
			Number: number, Base: base, Service: service, Extra: int(number % 5), Organisations: r.keys.nextPlan(),
			ColdStart: coldStart, ColdPerSecond: coldPerSecond,
		}.Encode()
		status := 0
		for status == 0 && ctx.Err() == nil {
			status = platformtest.ReplacePlan(r.controls[random.IntN(len(r.controls))].host.IP, plan)
		}
		switch status {
		case 200:
			r.checks.recordAcknowledged(number)
			r.keys.acknowledged()
			base = number
		case 0:
		default:
			r.checks.add("plan %d based on plan %d was rejected with status %d", number, base, status)
			return
		}
		number += uint64(1 + random.IntN(3))
		ip := r.controls[random.IntN(len(r.controls))].host.IP
		before := r.checks.newestAcknowledged()
		if got := platformtest.ReadPlan(ip); got > 0 {
			r.checks.checkRead(ip, got, before)
		}
		time.Sleep(planInterval)
	}
}

// readBack waits for an answer of any control host and checks that its plan is not
// older than the newest acknowledged one.
func (r *run) readBack() {
	before := r.checks.newestAcknowledged()
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, p := range r.controls {
			if got := platformtest.ReadPlan(p.host.IP); got > 0 {
				r.checks.checkRead(p.host.IP, got, before)
				return
			}
		}
	}
	r.checks.add("no control host answers a read of plan %d", before)
}
