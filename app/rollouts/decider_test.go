package rollouts

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// records are the records of nodes on a control host.
type records []*pb.NodeRecord

func (r records) Outcomes(f func(*pb.NodeRecord, time.Duration)) {
	for i, n := range r {
		f(n, time.Duration(i)*time.Second)
	}
}

func (r records) Nodes(f func(*pb.NodeRecord)) {
	for _, n := range r {
		f(n)
	}
}

// Guards against a new version that is compared with a withdrawn one, whose failures would
// hide its own.
func TestWithdrawnVersionIsNotCompared(t *testing.T) {
	is := is.New(t)
	record := func(version string, failed uint64) *pb.NodeRecord {
		return &pb.NodeRecord{
			Node: version, Service: "a", Version: version, State: pb.UpstreamState_UPSTREAM_STATE_SERVING,
			Outcomes: []*pb.RouteOutcomes{{Route: "r", Rollout: 7, Answered: 10, Failed: failed, Errors: failed}},
		}
	}
	d := New(nil, records{record("v1", 0), record("v2", 9), record("v3", 3)}, 0, log.NewNopLogger())
	in, oldest := d.input(&pb.Rollout{Service: "a", TargetVersion: "v3", Serial: 7, Withdrawn: []string{"v2"}})
	is.Equal(oldest, 2*time.Second)
	is.True(in.Ready)
	is.Equal(len(in.UpstreamCounts), 2)
	is.True(!in.UpstreamCounts[0].New && in.UpstreamCounts[0].Counts.ErrorAnswers == 0)
	is.True(in.UpstreamCounts[1].New && in.UpstreamCounts[1].Counts.ErrorAnswers == 3)
}
