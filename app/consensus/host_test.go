package consensus

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/core/raft"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

const (
	accepted           = pb.Outcome_OUTCOME_ACCEPTED
	conflict           = pb.Outcome_OUTCOME_CONFLICT
	unknownOutcome     = pb.Outcome_OUTCOME_UNKNOWN
	unavailableOutcome = pb.Outcome_OUTCOME_UNAVAILABLE
	emptyRevision      = 1 // revision of the empty configuration
)

var background = context.Background()

// submitNext submits a change on top of the host's applied revision until it is accepted.
func (c *cluster) submitNext(id, service string) *pb.CommandResult {
	c.t.Helper()
	return c.submitAt(func(revision uint64) *pb.Command { return putService(id, revision, service, "v1") })
}

// submitAt submits a command for the present revision until it is accepted.
func (c *cluster) submitAt(command func(revision uint64) *pb.Command) *pb.CommandResult {
	c.t.Helper()
	for range 100 {
		l := c.leader()
		if l.ConfirmRead(background) != nil {
			continue
		}
		if r := l.Submit(background, command(l.State().Configuration.GetRevision())); r.GetOutcome() == accepted {
			return r
		}
	}
	c.t.Fatal("the command is not accepted")
	return nil
}

func (c *cluster) waitEqual() {
	c.t.Helper()
	c.waitFor("equal state on all hosts", func() bool {
		var indexes []uint64
		for _, h := range c.running() {
			indexes = append(indexes, h.State().Index)
		}
		return len(slices.Compact(indexes)) == 1
	})
}

func (h *testHost) operator() rattanfieldv1connect.OperatorServiceClient {
	return rattanfieldv1connect.NewOperatorServiceClient(h.client.HTTP(), rpc.URL(memberOf(h.options.Members, h.options.ID).GetAddress()))
}

// Guards against a cluster that accepts no command, or applies it only on some hosts.
func TestCommandIsAppliedOnAllHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, "kingston", "kingston", "kingston", "montego-bay", "montego-bay").startAll()
	r := c.leader().Submit(background, putService("a", emptyRevision, "bookings", "v1"))
	is.Equal(r.GetOutcome(), accepted)
	is.Equal(r.GetRevision(), uint64(emptyRevision+1))
	is.Equal(c.follower().Submit(background, putService("b", r.GetRevision(), "tills", "v1")).GetOutcome(), accepted)
	for _, h := range c.running() {
		is.NoErr(h.ConfirmRead(background))
		is.Equal(len(h.State().Configuration.GetServices()), 2)
		c.waitFor("a confirmation", func() bool { return h.ConfirmedAge() < testWait })
	}
	q, err := c.follower().operator().Query(background, connect.NewRequest(&pb.QueryRequest{
		Subjects: []pb.Subject{pb.Subject_SUBJECT_CONFIGURATION, pb.Subject_SUBJECT_MEMBERS, pb.Subject_SUBJECT_HISTORY},
	}))
	is.NoErr(err)
	is.Equal(len(q.Msg.GetConfiguration().GetServices()), 2)
	is.Equal(len(q.Msg.GetMembers()), 5)
	for _, m := range q.Msg.GetMembers() {
		is.True(m.GetRole() != roleUnknown) // a follower asks the leader
	}
	is.Equal(len(q.Msg.GetHistory()), 2)
	c.waitFor("a confirmed answer", func() bool { return c.follower().freshness().GetConfirmed() })
}

// Guards against two accepted commands for one revision, conflicts that do not
// name the accepted command, and a command that is applied again when it is
// resent to another host.
func TestConcurrentSubmitsHaveOneWinner(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, "kingston", "kingston", "montego-bay").startAll()
	c.leader()
	for round := range 5 {
		revision := c.leader().State().Configuration.GetRevision()
		var mu sync.Mutex
		results := make(map[string]*pb.CommandResult)
		var wg sync.WaitGroup
		for i := range 9 {
			wg.Go(func() {
				id := fmt.Sprintf("r%d-%d", round, i/2) // most ids are sent twice, to different hosts
				r := c.running()[i%3].Submit(background, putService(id, revision, "s"+id, "v1"))
				mu.Lock()
				defer mu.Unlock()
				if old := results[id]; old != nil && old.GetOutcome() != r.GetOutcome() {
					t.Errorf("%s: %v and %v", id, old, r)
				}
				results[id] = r
			})
		}
		wg.Wait()
		var winners []string
		for id, r := range results {
			if r.GetOutcome() == accepted {
				winners = append(winners, id)
			}
		}
		is.Equal(len(winners), 1)
		for id, r := range results {
			if id != winners[0] {
				is.Equal(r.GetOutcome(), conflict)
				is.Equal([]any{r.GetWinnerCommandId(), r.GetWinnerOperator(), r.GetWinnerRevision()}, []any{winners[0], "op-" + winners[0], revision + 1})
			}
		}
	}
}

// Guards against lost or repeated commands when leaders are killed, and when all
// hosts are restarted from a snapshot after hundreds of changes.
func TestResendsAcrossLeaderChangesAndRestarts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, "kingston", "kingston", "montego-bay")
	c.tune = func(o *Options) { o.SnapshotEntries, o.KeepEntries, o.SegmentBytes = 64, 16, 16<<10 }
	c.startAll()
	const changes = 500
	results := make(map[string]*pb.CommandResult)
	for i := range changes {
		id := fmt.Sprint("c", i)
		results[id] = c.submitNext(id, fmt.Sprint("s", i%40))
		if i%150 == 149 {
			leader := c.leader().options.ID
			c.kill(leader)
			c.leader()
			c.start(leader)
		}
	}
	for _, m := range c.members {
		c.kill(m.GetId())
	}
	c.startAll()
	is.NoErr(c.leader().ConfirmRead(background))
	is.Equal(c.leader().State().Configuration.GetRevision(), uint64(emptyRevision+changes))
	for id, r := range results {
		again := c.follower().Submit(background, putService(id, 1, "other", "v9"))
		is.Equal([]any{again.GetOutcome(), again.GetRevision()}, []any{accepted, r.GetRevision()})
	}
	is.True(c.leader().Status().Commit > changes)
}

// Guards against hosts that exceed their memory and their disk after hundreds of large changes: a snapshot that is due by the
// number of entries alone comes too late.
func TestLogIsBoundedByBytes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const snapshotBytes, keepBytes, segmentBytes, services, changes = 64 << 10, 32 << 10, 16 << 10, 100, 300
	c := newCluster(t, "kingston", "kingston", "montego-bay")
	c.tune = func(o *Options) {
		o.SnapshotBytes, o.KeepBytes, o.SegmentBytes = snapshotBytes, keepBytes, segmentBytes
	}
	c.startAll()
	largest, sent := 0, 0
	for i := range changes {
		c.submitAt(func(revision uint64) *pb.Command {
			command := putService(fmt.Sprint("c", i), revision, "s0", "v1")
			change := command.GetSubmitConfiguration()
			for s := range services - 1 {
				change.Changes = append(change.Changes, putService("", 0, fmt.Sprint("s", s+1), fmt.Sprint("v", i)).GetSubmitConfiguration().GetChanges()...)
			}
			sent += proto.Size(command)
			return command
		})
		for _, h := range c.running() {
			largest = max(largest, h.Status().LogBytes)
		}
	}
	t.Logf("up to %d bytes in the log, %d in all", largest, sent)
	is.True(sent > 4*(snapshotBytes+keepBytes))
	is.True(largest <= 2*(snapshotBytes+keepBytes))
	c.waitEqual()
	for _, m := range c.members {
		c.kill(m.GetId())
		size := int64(0)
		files, err := os.ReadDir(filepath.Join(c.dir, m.GetId()))
		is.NoErr(err)
		for _, f := range files {
			info, err := f.Info()
			is.NoErr(err)
			size += info.Size()
		}
		t.Logf("%d bytes on disk", size)
		is.True(size <= 4*(snapshotBytes+keepBytes+segmentBytes))
	}
	c.startAll()
	is.NoErr(c.leader().ConfirmRead(background))
	is.Equal(c.leader().State().Configuration.GetRevision(), uint64(emptyRevision+changes))
}

// Guards against wrong outcomes, and responses that claim to be confirmed, on
// hosts without a quorum.
func TestWithoutQuorum(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, "kingston", "kingston", "montego-bay")
	c.tune = func(o *Options) { o.SubmitTimeout = time.Second }
	c.startAll()
	c.submitNext("before", "bookings")
	c.waitEqual()
	isolated := c.follower()
	c.setCut(isolated.options.ID, true)
	c.waitFor("no confirmation", func() bool { return !isolated.freshness().GetConfirmed() })
	c.waitFor("no known leader", func() bool { id, _ := isolated.Leader(); return id == "" })
	is.Equal(isolated.Submit(background, putService("alone", 2, "tills", "v1")).GetOutcome(), unavailableOutcome)
	is.True(isolated.ConfirmRead(background) != nil)
	is.Equal(len(isolated.State().Configuration.GetServices()), 1) // it still serves its state
	cut := c.leader()
	c.setCut(cut.options.ID, true) // now no host has a quorum, and the leader does not know it yet
	r := cut.Submit(background, putService("cut", 2, "tills", "v1"))
	is.Equal(r.GetOutcome(), unknownOutcome)
	is.True(!cut.IsLeader())
	c.setCut(isolated.options.ID, false)
	c.setCut(cut.options.ID, false)
	leader := c.leader()
	is.NoErr(leader.ConfirmRead(background))
	got, err := leader.operator().GetCommand(background, connect.NewRequest(&pb.GetCommandRequest{CommandId: "alone"}))
	is.NoErr(err)
	is.True(!got.Msg.GetFound()) // UNAVAILABLE means that the command was certainly not accepted
	r = leader.Submit(background, putService("cut", 2, "tills", "v1"))
	is.True(r.GetOutcome() == accepted)
}

// Guards against a planned stop that leaves the cluster without a leader, returns an error or leaks goroutines.
func TestPlannedStopTransfersLeadership(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	is := is.New(t)
	c := newCluster(t, "kingston", "kingston", "montego-bay")
	// The timeout is longer than any pause of a busy machine, so that only the transfer can produce a new leader in time.
	c.tune = func(o *Options) { o.ElectionTimeout, o.HeartbeatInterval = time.Second, 100*time.Millisecond }
	c.startAll()
	old := c.leader()
	c.waitEqual()
	is.NoErr(c.stop(old.options.ID))
	is.True(slices.ContainsFunc(c.running(), func(h *testHost) bool { return h.Status().Role == raft.Leader }))
	for _, h := range c.running() {
		c.kill(h.options.ID)
	}
}

// Guards against the loss of accepted commands when the leader is lost right
// after another host has restarted with a lost or older disk.
func TestLeaderLostAfterDiskReplacement(t *testing.T) {
	for _, older := range []bool{false, true} {
		t.Run(fmt.Sprint("older disk ", older), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, "kingston", "kingston", "montego-bay").startAll()
			c.submitNext("first", "bookings")
			c.waitEqual()
			repaired := c.follower().options.ID
			dir, backup := filepath.Join(c.dir, repaired), filepath.Join(c.dir, "backup")
			c.kill(repaired)
			is.NoErr(os.CopyFS(backup, os.DirFS(dir)))
			c.start(repaired)
			r := c.submitNext("second", "tills")
			c.waitEqual()
			c.kill(repaired)
			is.NoErr(os.RemoveAll(dir))
			if older {
				is.NoErr(os.CopyFS(dir, os.DirFS(backup)))
			}
			leader := c.leader().options.ID
			c.start(repaired)
			c.kill(leader)
			c.start(leader)
			is.NoErr(c.leader().ConfirmRead(background))
			is.Equal(c.leader().Submit(background, putService("second", 1, "x", "v1")).GetRevision(), r.GetRevision())
			c.waitFor("every host to be admitted", func() bool {
				return !slices.ContainsFunc(c.running(), func(h *testHost) bool { return !h.Status().Eligible })
			})
			c.kill(leader)
			is.Equal(c.leader().Submit(background, putService("second", 1, "x", "v1")).GetRevision(), r.GetRevision())
		})
	}
}

// Guards against payloads that are sent over the link between regions once per host.
func TestPayloadCrossesTheRegionLinkOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, "kingston", "kingston", "kingston", "montego-bay", "montego-bay").startAll()
	var l *testHost
	for l == nil || l.options.ID > "c3" {
		if l != nil {
			is.NoErr(c.stop(l.options.ID))
			id := l.options.ID
			c.leader()
			c.start(id)
		}
		l = c.leader()
	}
	c.waitEqual()
	c.waitFor("contact with all", func() bool {
		for _, p := range l.Status().Progress {
			if !p.Contacted {
				return false
			}
		}
		return true
	})
	// On a busy machine the last contact with the sibling can be too old temporarily.
	c.waitFor("c4 holds the payloads for c5", func() bool { return l.siblingHasPayloads("c5") })
	longName := make([]byte, 60)
	for i := range longName {
		longName[i] = 'a' + byte(i%20)
	}
	m := &pb.RaftMessage{Kind: pb.RaftKind_RAFT_KIND_APPEND, Entries: []*pb.Entry{{Index: 9, Term: 1, Payload: make([]byte, minReplacedBytes)}}}
	is.Equal(len(l.replaceWithDigests("c4", []*pb.RaftMessage{m})[0].GetEntries()[0].GetPayload()), minReplacedBytes)
	is.Equal(len(l.replaceWithDigests("c5", []*pb.RaftMessage{m})[0].GetEntries()[0].GetPayload()), 0)
	is.Equal(len(l.replaceWithDigests("c2", []*pb.RaftMessage{m})[0].GetEntries()[0].GetPayload()), minReplacedBytes)
	for i := range 20 {
		cmd := putService(fmt.Sprint("p", i), l.State().Configuration.GetRevision(), fmt.Sprint("s", i), string(slices.Concat(longName, longName, longName, longName)))
		is.Equal(l.Submit(background, cmd).GetOutcome(), accepted)
	}
	c.waitEqual()
	c.kill("c4") // the sibling that received the payloads
	cmd := putService("after", l.State().Configuration.GetRevision(), "after", string(slices.Concat(longName, longName, longName, longName)))
	is.Equal(l.Submit(background, cmd).GetOutcome(), accepted)
	c.waitEqual()
	entry := new(pb.Entry)
	is.NoErr(l.doInStepLoop(background, func() { entry = l.node.Entry(l.State().Index) }))
	m = &pb.RaftMessage{Kind: pb.RaftKind_RAFT_KIND_APPEND, From: l.options.ID, Entries: []*pb.Entry{entry}}
	receiver := c.hosts["c5"]
	receiver.payloads = newPayloadCache()
	withDigests := messageWithDigests(m)
	is.True(receiver.fetchPayloads(background, withDigests)) // from the leader, because the sibling is down
	is.Equal(withDigests.GetEntries()[0].GetPayload(), entry.GetPayload())
}

// Guards against a lease that stays valid through a suspension which the monotonic
// clock does not count, and against a clock that runs backwards or too fast.
func TestClockCountsSuspensions(t *testing.T) {
	is := is.New(t)
	var mono, wall time.Duration
	c := newClockFrom(func() (time.Duration, time.Duration) { return mono, wall })
	start := c.now()
	for range 1000 { // small differences between the clocks do not accumulate
		mono, wall = mono+9*time.Millisecond, wall+10*time.Millisecond
	}
	is.True(c.now()-start <= 10*time.Second)
	before := c.now()
	wall += time.Minute // suspended: only the wall clock advances
	is.True(c.now()-before >= time.Minute)
	before = c.now()
	wall -= time.Hour
	mono += time.Millisecond
	is.True(c.now() > before)
}
