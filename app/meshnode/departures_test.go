package meshnode

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// stopAnnouncing ends the announcements of the upstream, which goes on, and returns the last one.
func (n *clusterNode) stopAnnouncing() *pb.Announcement {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := &pb.Announcement{
		Instance: n.instance, Service: "a", Address: n.address, FailureDomain: "d", Version: "v1", Slots: 8,
		State: pb.UpstreamState_UPSTREAM_STATE_SERVING, Seq: 1 << 20, BornUnixMs: n.born,
	}
	n.instance = ""
	return a
}

// announceAgain starts the announcements of the upstream again, as those of a process with this birth time.
func (n *clusterNode) announceAgain(instance string, born int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.instance, n.born = instance, born
}

// runsSince returns the number of requests that an instance has begun to run since a time.
func (h *history) runsSince(instance string, since time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, runs := range h.runs {
		for _, r := range runs {
			if r.instance == instance && r.begin.After(since) {
				n++
			}
		}
	}
	return n
}

// sendFor sends requests to the entries of all nodes for a time.
func (c *cluster) sendFor(d time.Duration, name string) {
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		for _, n := range c.nodes {
			n.get("/r/x", fmt.Sprintf("%s-%d-%s", name, i, n.host), time.Second)
		}
	}
}

// Guards against requests that reach an upstream which has left, because its node, which has been started again, takes an
// announcement from before for the newest one. Another process of the same instance still gets requests.
func TestRestartedNodeIgnoresAnnouncementsFromBeforeADeparture(t *testing.T) {
	for name, leave := range map[string]func(a *pb.Announcement){
		"left":                    func(a *pb.Announcement) { a.State, a.Seq = pb.UpstreamState_UPSTREAM_STATE_GONE, 0 },
		"left, time not stated":   func(a *pb.Announcement) { proto.Reset(a); a.State = pb.UpstreamState_UPSTREAM_STATE_GONE },
		"leaving":                 func(a *pb.Announcement) { a.State, a.Seq = pb.UpstreamState_UPSTREAM_STATE_LEAVING, a.Seq+1 },
		"left, all hosts restart": func(a *pb.Announcement) { a.State = pb.UpstreamState_UPSTREAM_STATE_GONE },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 3, nil)
			n := c.nodes[0]
			late := n.stopAnnouncing()
			departure := proto.CloneOf(late)
			leave(departure)
			departure.Instance = late.GetInstance()
			acknowledge(t, n, departure)
			for range 2 { // the second time, the node has not heard of the departure itself
				n.stopNode()
				if name == "left, all hosts restart" {
					for i := range c.stopControl {
						c.stopControl[i]()
					}
					for i, start := range c.startControl {
						c.stopControl[i] = start()
					}
				}
				n.process.Store(nil)
				n.startNode()
				eventually(t, "the node has started", func() bool { return n.process.Load() != nil })
				is.NoErr(n.process.Load().Announce(t.Context(), late))
				eventually(t, "the node serves", func() bool { return n.get("/r/x", "first", time.Second) == 200 })
			}
			since := time.Now()
			is.NoErr(n.process.Load().Announce(t.Context(), late))
			c.sendFor(1500*time.Millisecond, "late")
			is.Equal(c.history.runsSince(late.GetInstance(), since), 0)
			n.announceAgain(late.GetInstance(), time.Now().UnixMilli()+1)
			eventually(t, "the next process of the instance gets requests", func() bool {
				c.sendFor(100*time.Millisecond, fmt.Sprint("next-", time.Now().UnixNano()))
				return c.history.runsSince(late.GetInstance(), since) > 0
			})
		})
	}
}

// acknowledge announces until the node acknowledges it.
func acknowledge(t *testing.T, n *clusterNode, a *pb.Announcement) {
	t.Helper()
	eventually(t, "the announcement is acknowledged", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return n.process.Load().Announce(ctx, a) == nil
	})
}

// Guards against a departure that is acknowledged although it is lost once the node is started again.
func TestDepartureIsNotAcknowledgedWithoutAQuorum(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, nil)
	n := c.nodes[0]
	departure := n.stopAnnouncing()
	departure.State = pb.UpstreamState_UPSTREAM_STATE_GONE
	for _, stop := range c.stopControl[:2] {
		stop()
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	is.True(n.process.Load().Announce(ctx, departure) != nil)
	for i, start := range c.startControl[:2] {
		c.stopControl[i] = start()
	}
	acknowledge(t, n, departure)
}
