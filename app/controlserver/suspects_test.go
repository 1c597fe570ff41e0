package controlserver_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/controlclient"
	"github.com/rattanfield/rattanfield/app/suspectlist"
	"github.com/rattanfield/rattanfield/core/suspects"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// startPolling starts a node that has suspects and polls the control hosts.
func startPolling(t *testing.T, name, domain string, seeds []string) *suspectlist.List {
	var n *controlclient.Client
	list := suspectlist.New(func() { n.SuspectsChanged() })
	client := rpc.NewClient(rpc.Options{})
	n = controlclient.New(controlclient.Options{Node: name, FailureDomain: domain, Region: "r", Seeds: func() []string { return seeds }, Suspects: list}, client, log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		client.Close()
	})
	return list
}

// Guards against suspects that do not reach nodes of other control hosts, and against ones that are forgotten when all
// control hosts restart.
func TestSuspectsReachAllNodes(t *testing.T) {
	is := is.New(t)
	const crashing, innocent = 1, 2
	a := addresses(3)
	hosts, dirs := make([]*controlHost, 3), make([]string, 3)
	for i := range hosts {
		dirs[i] = t.TempDir()
		hosts[i] = startControl(t, a[i], dirs[i], fmt.Sprint("d", i), a, a)
	}
	eventually(t, "three voters", func() bool { return voters(hosts[0].host) == 3 })
	submit(t, hosts[0].host, 5, 0)
	first, second := startPolling(t, "127.0.0.1:1", "d0", a), startPolling(t, "127.0.0.1:2", "d1", a)
	first.Ended("u1", "a", []uint64{crashing, innocent})
	first.Ended("u2", "a", []uint64{crashing, innocent})
	eventually(t, "the other node rejects both", func() bool { return second.Count(suspects.Reject) == 2 })
	second.Completed(innocent)
	eventually(t, "the first node knows that one is cleared", func() bool { return first.Decide(innocent).Handling == suspects.Run })
	is.Equal(first.Decide(crashing).Handling, suspects.Reject)
	for i := range hosts {
		hosts[i].stop()
	}
	for i := range hosts {
		hosts[i] = startControl(t, a[i], dirs[i], fmt.Sprint("d", i), nil, a)
	}
	third := startPolling(t, "127.0.0.1:3", "d2", a)
	eventually(t, "a node that starts after the control hosts rejects it", func() bool { return third.Decide(crashing).Handling == suspects.Reject })
	is.Equal(third.Decide(innocent).Handling, suspects.Run)
}

// Guards against a full table that is larger than a node may receive: at the target, 21 KB/s on average.
func TestFullSuspectTableStaysSmall(t *testing.T) {
	is := is.New(t)
	list := suspectlist.New(func() {})
	for i := range suspects.MaxRecords + 1000 {
		for crash := range 2 {
			list.Ended(fmt.Sprintf("i-%08x/mxbl70o7-%d", i, crash), "service", []uint64{uint64(i)})
		}
	}
	records, _ := list.OwnSince(0)
	is.Equal(len(records), suspects.MaxRecords)
	size := proto.Size(&pb.MeshServiceSyncResponse{Suspects: records})
	t.Logf("%d records: %d bytes", len(records), size)
	is.True(size < 30*21_000) // half a minute of a node's share, once after its start
	crash := proto.Size(&pb.MeshServiceSyncResponse{Suspects: records[:9]})
	t.Logf("9 records: %d bytes", crash)
	is.True(crash < 21_000/10)
}
