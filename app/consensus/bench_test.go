package consensus

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const benchSubmitters = 64

// holdMove returns a command that many operators can submit at once without a conflict.
func holdMove(id string) *pb.Command {
	return &pb.Command{CommandId: id, Operator: "bench", Command: &pb.Command_ChangeMove{
		ChangeMove: &pb.ChangeMove{MoveId: "none", Action: pb.MoveAction_MOVE_ACTION_HOLD},
	}}
}

// BenchmarkCommits reports synced commits per second of 3 hosts with 64 concurrent
// submitters: group commit compared with one sync per command.
func BenchmarkCommits(b *testing.B) {
	for _, each := range []bool{false, true} {
		name := map[bool]string{false: "group-commit", true: "sync-each"}[each]
		b.Run(name, func(b *testing.B) {
			c := newCluster(b, "kingston", "kingston", "montego-bay")
			c.tune = func(o *Options) { o.SyncEach, o.SubmitTimeout = each, time.Minute }
			c.startAll()
			leader := c.leader()
			var next atomic.Int64
			var syncs uint64
			_ = leader.doInStepLoop(background, func() { syncs = leader.store.Syncs() })
			b.ResetTimer()
			var wg sync.WaitGroup
			for range benchSubmitters {
				wg.Go(func() {
					for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
						leader.Submit(background, holdMove(fmt.Sprint(name, i)))
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(leader.store.Syncs()-syncs)/float64(b.N), "syncs/commit")
		})
	}
}

// BenchmarkRecovery reports the time from killing the leader to the next accepted
// command, with 5 hosts and 20 ms between the regions: the default timeouts
// compared with timeouts 3 times as long.
func BenchmarkRecovery(b *testing.B) {
	for _, factor := range []time.Duration{1, 3} {
		b.Run(fmt.Sprintf("timeouts-x%d", factor), func(b *testing.B) {
			c := newCluster(b, "kingston", "kingston", "kingston", "montego-bay", "montego-bay")
			c.delay = c.regionDelay
			c.tune = func(o *Options) {
				o.ElectionTimeout, o.HeartbeatInterval = factor*DefaultElectionTimeout, factor*DefaultHeartbeatInterval
			}
			c.startAll()
			var total, worst time.Duration
			for i := range b.N {
				old := c.leader().options.ID
				c.submitNext(fmt.Sprint("before", i), "bookings")
				start := time.Now()
				c.kill(old)
				c.submitNext(fmt.Sprint("after", i), "bookings")
				took := time.Since(start)
				total, worst = total+took, max(worst, took)
				c.start(old)
				c.waitEqual()
			}
			b.ReportMetric(total.Seconds()/float64(b.N), "s/recovery")
			b.ReportMetric(worst.Seconds(), "s/worst")
		})
	}
}

// BenchmarkPlacement reports the time to accept a command, for several numbers of
// voters per region and leaders in either region, with 20 ms between regions.
func BenchmarkPlacement(b *testing.B) {
	placements := []struct {
		name    string
		regions []string
	}{
		{"3+2", []string{"a", "a", "a", "b", "b"}},
		{"2+2", []string{"a", "a", "b", "b"}},
		{"3+2+2", []string{"a", "a", "a", "b", "b", "c", "c"}},
	}
	for _, p := range placements {
		for _, region := range []string{"a", "b"} {
			b.Run(p.name+"/leader-in-"+region, func(b *testing.B) {
				c := newCluster(b, p.regions...)
				c.delay = c.regionDelay
				c.startAll()
				leader := c.leader()
				for leader == nil || memberOf(c.members, leader.options.ID).GetRegion() != region {
					id := leader.options.ID
					if err := c.stop(id); err != nil {
						b.Fatal(err)
					}
					c.leader()
					c.start(id)
					leader = c.leader()
				}
				c.waitEqual()
				b.ResetTimer()
				for i := range b.N {
					leader.Submit(background, holdMove(fmt.Sprint("p", i)))
				}
				b.ReportMetric(b.Elapsed().Seconds()*1000/float64(b.N), "ms/commit")
			})
		}
	}
}

// regionDelay returns a delay of 20 ms between hosts of different regions.
func (c *cluster) regionDelay(from, to string) time.Duration {
	for _, m := range c.members {
		if m.GetAddress() == to && m.GetRegion() != memberOf(c.members, from).GetRegion() {
			return 20 * time.Millisecond
		}
	}
	return 0
}

// BenchmarkRegionLink reports the bytes sent between the regions of 3 + 2 hosts
// with the default timeouts: per second without commands, and per command of 4 KiB,
// with digests compared with whole payloads for both hosts of the second region.
func BenchmarkRegionLink(b *testing.B) {
	const payloadBytes, restFor = 4 << 10, 3 * time.Second
	for _, whole := range []bool{false, true} {
		b.Run(map[bool]string{false: "digests", true: "whole-payloads"}[whole], func(b *testing.B) {
			c := newCluster(b, "a", "a", "a", "b", "b")
			c.tune = func(o *Options) {
				o.WholePayloads, o.ElectionTimeout, o.HeartbeatInterval = whole, DefaultElectionTimeout, DefaultHeartbeatInterval
			}
			c.startAll()
			for memberOf(c.members, c.leader().options.ID).GetRegion() != "a" {
				id := c.leader().options.ID
				c.kill(id)
				c.leader()
				c.start(id)
			}
			leader := c.leader()
			c.waitEqual()
			before := c.regionBytes()
			time.Sleep(restFor)
			rest := float64(c.regionBytes()-before) / restFor.Seconds()
			before = c.regionBytes()
			b.ResetTimer()
			for i := range b.N {
				cmd := holdMove(fmt.Sprint("r", i))
				cmd.GetChangeMove().MoveId = strings.Repeat("m", payloadBytes)
				leader.Submit(background, cmd)
			}
			c.waitEqual()
			b.StopTimer()
			used := float64(c.regionBytes()-before) - rest*b.Elapsed().Seconds()
			b.ReportMetric(rest, "B/s-at-rest")
			b.ReportMetric(used/float64(b.N), "B/change")
		})
	}
}
