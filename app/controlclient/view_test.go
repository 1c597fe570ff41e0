package controlclient

import (
	"testing"
	"time"

	"github.com/matryer/is"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Guards against a stop whose begin moves with each record of the node, and against one that outlives it.
func TestStoppingSinceIsTheFirstNews(t *testing.T) {
	is := is.New(t)
	c := newTestClient()
	c.host = "home"
	version := uint64(0)
	since := func(stopping bool) time.Time {
		r := goodRecord("127.0.0.1:80", version+1)
		if stopping {
			r.State, r.Stopping = leaving, true
		}
		version++
		c.apply(&pb.MeshServiceSyncResponse{TableEpoch: 1, TableVersion: version, TableWhole: version == 1, Records: []*pb.NodeRecord{r}})
		return c.View().Endpoints["s"][0].StoppingSince
	}
	is.True(since(false).IsZero())
	first := since(true)
	is.True(!first.IsZero())
	is.Equal(since(true), first)
	is.True(since(false).IsZero())
}

// Guards against a slow start that each repetition of a record prolongs, and against one that begins again under the same
// instance id and that entries do not know of.
func TestEndOfSlowStart(t *testing.T) {
	is := is.New(t)
	r := records{byNode: make(map[string]*pb.NodeRecord), known: make(map[string]*Endpoint)}
	start, seq := time.Unix(1000, 0), uint64(0)
	warmAt := func(at, coldMs int) time.Duration {
		n := goodRecord("127.0.0.1:80", seq+1)
		seq++
		n.ColdMs = uint32(coldMs)
		now := start.Add(time.Duration(at) * time.Millisecond)
		r.apply(false, []*pb.NodeRecord{n}, now)
		endpoints, _ := r.endpoints(now)
		return endpoints["s"][0].WarmAt.Sub(start)
	}
	is.Equal(warmAt(0, 8000), 8*time.Second)
	is.Equal(warmAt(1000, 8000), 8*time.Second) // the record has changed otherwise
	is.Equal(warmAt(2000, 7000), 9*time.Second) // it is cold again
	is.Equal(warmAt(3000, 0), 3*time.Second)
	is.Equal(warmAt(4000, 8000), 12*time.Second)
}

// Guards against an evacuation that an older answer of another control host undoes, and one whose end is not noticed.
func TestEvacuationsFollowTheNewestState(t *testing.T) {
	is := is.New(t)
	c := newTestClient()
	c.host = "home"
	after := func(index uint64, active bool) bool {
		c.apply(&pb.MeshServiceSyncResponse{StateIndex: index, Evacuations: []*pb.Evacuation{{FailureDomain: "d1", Active: active}}})
		return c.View().Evacuated["d1"]
	}
	is.True(after(4, true))
	is.True(after(3, false))
	is.True(!after(5, false))
	is.True(!after(4, true))
}
