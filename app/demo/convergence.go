package demo

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"

	"github.com/rattanfield/rattanfield/app/lifecycle"
)

const (
	convergenceChanges = 10
	convergenceLimit   = 6 * time.Second // design target until a change is in force on every node
)

// convergence holds the times from the acceptance of a change until nodes have
// applied it.
type convergence struct {
	nodes      []time.Duration // one per change and node
	everywhere []time.Duration // the longest of each change
}

// measureConvergence submits changes one after the other, each when the one before
// has reached all nodes.
func (d *demo) measureConvergence(ctx context.Context) error {
	r, err := d.operator.query(ctx, pb.Subject_SUBJECT_CONFIGURATION)
	if err != nil {
		return err
	}
	// The answer to a query may be as old as the lease of the control host, so each
	// change is based on the revision in the result of the change before it.
	revision, service := r.GetConfiguration().GetRevision(), proto.CloneOf(r.GetConfiguration().GetServices()[0])
	for i := range convergenceChanges {
		service.Limits.MaxQueue = uint32(32 + i%2)
		result, err := d.operator.submit(ctx, &pb.Command{
			CommandId: fmt.Sprintf("demo-change-%d-%d", i, time.Now().UnixNano()), Operator: operatorName,
			ExpectedRevision: revision, SubmittedUnixMs: time.Now().UnixMilli(),
			Command: &pb.Command_SubmitConfiguration{SubmitConfiguration: &pb.SubmitConfiguration{
				Changes: []*pb.Change{{Change: &pb.Change_PutService{PutService: proto.CloneOf(service)}}},
			}},
		})
		if err != nil {
			return err
		}
		if result.GetOutcome() != pb.Outcome_OUTCOME_ACCEPTED {
			return fmt.Errorf("change %d: %s: %v %s", i, result.GetOutcome(), result.GetProblems(), result.GetMessage())
		}
		revision = result.GetRevision()
		took, err := d.awaitRevision(ctx, revision, time.UnixMilli(result.GetAcceptedUnixMs()))
		if err != nil {
			return err
		}
		d.convergence.nodes = append(d.convergence.nodes, took...)
		d.convergence.everywhere = append(d.convergence.everywhere, slices.Max(took))
	}
	return nil
}

// awaitRevision waits until all nodes have applied a revision and returns the time
// that each took since accepted. It returns an error after twice convergenceLimit.
func (d *demo) awaitRevision(ctx context.Context, revision uint64, accepted time.Time) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*convergenceLimit)
	defer cancel()
	took := make([]time.Duration, len(d.layout.nodes))
	var wait sync.WaitGroup
	for i, n := range d.layout.nodes {
		wait.Go(func() {
			for {
				if r, err := d.admin.revision(ctx, n.admin()); err == nil && r >= revision {
					took[i] = max(time.Since(accepted), 0)
					return
				}
				if !lifecycle.Pause(ctx, pollInterval) {
					took[i] = -1
					return
				}
			}
		})
	}
	wait.Wait()
	for i, t := range took {
		if t < 0 {
			return nil, fmt.Errorf("node %s did not apply revision %d within %s", d.layout.nodes[i].id, revision, 2*convergenceLimit)
		}
	}
	return took, nil
}

// quantile returns the q-quantile of durations, or 0 when there are none.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(float64(len(sorted))*q))]
}
