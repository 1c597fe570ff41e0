package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

const stormNodes = 200

// Guards against a storm of snapshots, which comes about when many nodes lose their relay or
// restart at once. After the loss of a relay its nodes resume at the other one by revision and
// hash, for less than a quarter of a full snapshot per node. After a restart of all nodes the
// snapshot rate limit (SnapshotsPerSecond) spreads their snapshots over time, and the traffic
// stays below two full snapshots per node.
func TestReconnectStorm(t *testing.T) {
	is := is.New(t)
	o := fastOptions(north, harbour)
	o.InMemory = true
	// Times as in a deployment: with short ones, requests would time out under load and repeat.
	o.Members.Timeout, o.Members.PollWait, o.Members.ProbeInterval = 5*time.Second, 5*time.Second, time.Minute
	o.Relay.Members.ProbeInterval = time.Minute
	o.Follower.Timeout, o.Follower.PollWait, o.Follower.RecordTimeout = 5*time.Second, 20*time.Second, time.Second
	o.Relay.SnapshotsPerSecond, o.Relay.SnapshotBurst = 400, 20
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 400 { // a configuration whose snapshot is far above the cost of a request, even compressed
		o.Configuration.Routes = append(o.Configuration.Routes, &pb.Route{
			Name: fmt.Sprintf("s-%03d-%x", i, rng.Uint64()), PathPrefix: fmt.Sprintf("/%x%x", rng.Uint64(), rng.Uint64()), Service: "b",
		})
	}
	slices.SortFunc(o.Configuration.Routes, func(a, b *pb.Route) int { return strings.Compare(a.GetName(), b.GetName()) })
	snapshot := uint64(proto.Size(o.Configuration))
	f, err := New(o)
	is.NoErr(err)
	t.Cleanup(f.Close)
	for i := range stormNodes {
		f.mustStart(t, NodeID(north, i), north, "a")
	}
	eventually(t, "first configuration", func() bool { return f.allReached(1) })
	eventually(t, "all nodes at their own relay", func() bool { return f.nodesFollowing(f.relays[0]) == stormNodes })

	before := f.trafficBytes()
	f.relays[0].Stop()
	f.Source().Accept(putService(service("b", 2)))
	eventually(t, "change after the loss of the relay", func() bool { return f.allReached(2) })
	eventually(t, "all nodes at the other relay", func() bool { return f.nodesFollowing(f.relays[1]) == stormNodes })
	spent := f.trafficBytes() - before
	t.Logf("reconnect: %d bytes per node, full snapshot %d", spent/stormNodes, snapshot)
	is.True(4*spent < snapshot*stormNodes) // neither snapshots nor endpoint tables are sent again

	before = f.trafficBytes()
	for _, n := range f.Nodes() {
		n.Stop()
	}
	for i := range stormNodes {
		f.mustStart(t, NodeID(north, i), north, "a")
	}
	eventually(t, "restart of all nodes", func() bool { return f.allReached(2) })
	spent = f.trafficBytes() - before
	t.Logf("restart: %d bytes per node", spent/stormNodes)
	is.True(spent < 2*snapshot*stormNodes) // the snapshot, compressed, and the endpoints
}

func (f *Fleet) nodesFollowing(r *Relay) (n int) {
	for _, node := range f.Nodes() {
		if node.Follower.Relay() == r.ID {
			n++
		}
	}
	return n
}

func (f *Fleet) trafficBytes() (sum uint64) {
	for l := range ports.Link(ports.LinkCount) {
		sum += f.Traffic(l).RequestBytes.Load() + f.Traffic(l).ResponseBytes.Load()
	}
	return sum
}
