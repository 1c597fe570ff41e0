package demo

import (
	"context"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// traffic measures the bytes that the processes exchange besides calls.
type traffic struct {
	started                      time.Time
	startBytes, startRemoteBytes float64 // byte counters at the start; remote: over the links between regions
	seconds                      float64
	perNode                      float64 // bytes per second and node
	remotePerSecond              float64 // bytes per second over the links between regions
}

func (t *traffic) begin(ctx context.Context, d *demo) (err error) {
	t.started = time.Now()
	t.startBytes, t.startRemoteBytes, err = d.linkTotals(ctx)
	return err
}

func (t *traffic) end(ctx context.Context, d *demo) error {
	all, remote, err := d.linkTotals(ctx)
	if err != nil {
		return err
	}
	t.seconds = time.Since(t.started).Seconds()
	t.perNode = (all - t.startBytes) / t.seconds / float64(len(d.layout.nodes))
	t.remotePerSecond = (remote - t.startRemoteBytes) / t.seconds
	return nil
}

// linkTotals sums the byte counters of all processes. They count both directions at
// the client side of every connection, so each byte counts once.
func (d *demo) linkTotals(ctx context.Context) (all, remote float64, err error) {
	var addresses []string
	for _, n := range d.layout.nodes {
		addresses = append(addresses, n.admin())
	}
	for _, c := range d.layout.controls {
		addresses = append(addresses, c.admin())
	}
	for _, a := range addresses {
		bytes, err := d.admin.linkBytes(ctx, a, "")
		if err != nil {
			return 0, 0, err
		}
		remoteBytes, err := d.admin.linkBytes(ctx, a, "remote")
		if err != nil {
			return 0, 0, err
		}
		all, remote = all+bytes, remote+remoteBytes
	}
	return all, remote, nil
}

// executedRequests returns the number of requests that all upstreams of a version ran.
func (d *demo) executedRequests(ctx context.Context, version string) (uint64, error) {
	total := uint64(0)
	for _, n := range d.layout.nodes {
		if n.version != version {
			continue
		}
		r, err := d.admin.executions(ctx, n.upstream())
		if err != nil {
			return 0, err
		}
		total += r.Total
	}
	return total, nil
}

// countExecutions counts the idempotency keys that ran more than once, on one
// upstream or on several.
func (d *demo) countExecutions(ctx context.Context) error {
	total := map[string]int{}
	for _, n := range d.layout.nodes {
		r, err := d.admin.executions(ctx, n.upstream())
		if err != nil {
			return err
		}
		for key, count := range r.Keys {
			total[key] += count
		}
	}
	d.keys, d.executions = len(total), total
	for _, count := range total {
		if count > 1 {
			d.duplicateKeys++
		}
	}
	return nil
}

// report builds the report of Run from the measured values.
func (d *demo) report(stopErrs []error) *Report {
	r := &Report{}
	d.reportConfiguration(r)
	d.reportCalls(r)
	d.reportMoves(r)
	unexpected := d.processes.unexpected()
	r.check("no process ended on its own", len(unexpected) == 0, "%d did", len(unexpected))
	r.check("every process stopped cleanly", len(stopErrs) == 0, "%v", stopErrs)
	r.row("duration", "%.1f s", time.Since(d.began).Seconds())
	return r
}

func (d *demo) reportConfiguration(r *Report) {
	p50, p99 := quantile(d.convergence.nodes, 0.5), quantile(d.convergence.nodes, 0.99)
	r.row("convergence per node, p50 / p99", "%s / %s (%d changes, %d nodes)", ms(p50), ms(p99), len(d.convergence.everywhere), len(d.layout.nodes))
	r.row("convergence everywhere, p50 / max", "%s / %s", ms(quantile(d.convergence.everywhere, 0.5)), ms(quantile(d.convergence.everywhere, 1)))
	r.row("control bytes per node, idle / with calls", "%.2f / %.2f KB/s (with calls: includes claims of idempotency keys)", d.idle.perNode/1000, d.busy.perNode/1000)
	r.row("control bytes over the region link", "%.2f / %.2f KB/s", d.idle.remotePerSecond/1000, d.busy.remotePerSecond/1000)
	r.check("changes in force everywhere", len(d.convergence.everywhere) == convergenceChanges && p99 < convergenceLimit,
		"%d of %d changes, p99 %s, limit %s", len(d.convergence.everywhere), convergenceChanges, ms(p99), convergenceLimit)
	r.check("killed control host came back", d.rejoinTime > 0, "ready after %s", ms(d.rejoinTime))
}

func (d *demo) reportCalls(r *Report) {
	if d.steadyLoad == nil || d.load == nil {
		r.check("calls were sent", false, "the run ended early")
		return
	}
	a := d.steadyLoad.Added
	r.row("added latency, p50 / p99 of pairs", "%.2f / %.2f ms (%d pairs)", a.P50, a.P99, a.SampledPairs)
	r.row("added latency, difference of p50s / p99s", "%.2f / %.2f ms", a.QuantileP50, a.QuantileP99)
	steady, moving := d.steadyLoad.All.Counts, d.load.All.Counts
	r.row("calls without changes", "%d sent, %d answered, %d failed, %d rejected, %d unknown, %d lost", steady.Sent, steady.Answered, steady.Failed, steady.Rejected, steady.Unknown, steady.Lost)
	r.row("calls during the moves", "%d sent, %d answered, %d failed, %d rejected, %d unknown, %d lost", moving.Sent, moving.Answered, moving.Failed, moving.Rejected, moving.Unknown, moving.Lost)
	r.row("resent by the caller", "%d after a lost connection, %d at another entry", d.load.Resends, d.load.Failovers)
	r.check("pairs were measured", a.SampledPairs > 0, "%d pairs", a.SampledPairs)
	r.check("no call lost", steady.Lost+moving.Lost == 0 && steady.Sent > 0 && moving.Sent > 0, "%d of %d", steady.Lost+moving.Lost, steady.Sent+moving.Sent)
	r.check("no foreign or incomplete response", steady.Corrupt+moving.Corrupt == 0, "%d of %d", steady.Corrupt+moving.Corrupt, steady.Sent+moving.Sent)
	r.check("no rejection or unknown outcome", steady.Rejected+moving.Rejected+steady.Unknown+moving.Unknown == 0, "%v %v", d.steadyLoad.Reasons, d.load.Reasons)
	r.check("only the bad version failed calls", d.versions.failed+int(steady.Failed) == 0, "%d calls failed by other versions", d.versions.failed+int(steady.Failed))
	r.check("no key ran twice", d.duplicateKeys == 0 && d.keys > 0, "%d of %d keys", d.duplicateKeys, d.keys)
	r.check("node stopped without interrupting calls", d.nodeStopErr == nil && d.load.Resends == 0,
		"%s, %d connections lost", stopResult(d.nodeStopErr), d.load.Resends)
}

func (d *demo) reportMoves(r *Report) {
	took := func(m *pb.Move) string {
		return ms(time.Duration(m.GetChangedUnixMs()-m.GetStartedUnixMs()) * time.Millisecond)
	}
	r.row("good move", "%s after %s: %s", phaseName(d.good), took(d.good), d.good.GetReason())
	r.row("bad move", "%s after %s: %s", phaseName(d.bad), took(d.bad), d.bad.GetReason())
	r.row("requests that the bad version ran", "%d, of %d calls of its service sent while its move ran", d.badCalls, d.badServiceCalls)
	r.check("good move completed by its deadline", d.good.GetPhase() == pb.MovePhase_MOVE_PHASE_DONE &&
		d.good.GetChangedUnixMs() <= d.good.GetDeadlineUnixMs(), "%s", phaseName(d.good))
	r.check("bad move rolled back", d.bad.GetPhase() == pb.MovePhase_MOVE_PHASE_ROLLED_BACK, "%s", phaseName(d.bad))
	r.check("bad version ran requests, and none later than 1 s after the decision", d.badCalls > 0 && d.badCallsLate == 0,
		"%d, then %d", d.badCalls, d.badCallsLate)
}
