package controlclient

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/core/condition"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

const (
	// pollWait is how long a control host holds a poll without changes. It also
	// determines how soon an unresponsive host is detected. Changes are answered at once.
	pollWait = time.Second
	// pollTimeout is the timeout of a poll in addition to its wait. It allows several
	// round trips between regions.
	pollTimeout = 600 * time.Millisecond
	// reportInterval is the wait of a poll while a rollout of the local service runs. It
	// is short so that outcomes reach the leader within a fraction of the time in which a
	// version is to be rolled back.
	reportInterval = 250 * time.Millisecond
	// initialPollWait is the wait of a poll while the node has no plan and asks one
	// control host after the other.
	initialPollWait = 300 * time.Millisecond
	retryPause      = 50 * time.Millisecond
	maxRetryPause   = 500 * time.Millisecond
	// preferredRetry is how long a node stays with a less preferred control host before it
	// tries the most preferred one again.
	preferredRetry = 10 * time.Second
)

// Options configures an Attachment.
type Options struct {
	Node          string // gate address, which identifies the node
	FailureDomain string
	Region        string
	// Seeds returns the peer addresses of control hosts that are tried until the member
	// set is known, and after its members from then on.
	Seeds func() []string
	// Outcomes returns the outcomes that the local upstream had in the running rollout.
	// It may be nil.
	Outcomes func() []*pb.RouteOutcomes
	// OnChange is called with each new view and must not block. It may be nil.
	OnChange func(*View)
}

// Attachment is the connection of a node to the control hosts.
type Attachment struct {
	options       Options
	clients       *rpc.Cache[rattanfieldv1connect.MeshServiceClient]
	logger        log.Logger
	recordChanged chan struct{}
	view          atomic.Pointer[View]

	mu   sync.Mutex
	self *pb.NodeRecord

	// The following fields are owned by the goroutine of Run.
	hosts                 []*pb.Member
	host                  string // address of the current control host
	hostIndex             int    // index in addresses of the control host for the next poll, modulo their number
	lastSwitch            time.Time
	pollDeadline          lifecycle.PollDeadline // bounds the polls at the current control host
	failures              int                    // consecutive failed polls
	unconfirmed           int                    // consecutive responses without a quorum
	ownDomainHostAnswered bool                   // whether the control host of the own failure domain answered, even without a quorum
	records               records
	positions             map[string]position // by control host, so that returning to one does not transfer the whole table
}

// maxPositions limits the positions that are kept, including those of control hosts that
// no longer exist.
const maxPositions = 64

// position is the epoch and version up to which a node has the table of a control host.
type position struct {
	epoch   int64
	version uint64
}

// New returns an Attachment, which polls control hosts while Run runs.
func New(o Options, client *rpc.Client, logger log.Logger) *Attachment {
	a := &Attachment{
		options: o, logger: logger, recordChanged: make(chan struct{}, 1),
		clients: rpc.NewCache(func(address string) rattanfieldv1connect.MeshServiceClient {
			return rattanfieldv1connect.NewMeshServiceClient(client.HTTP(), rpc.URL(address))
		}),
		self:      &pb.NodeRecord{Node: o.Node, Epoch: time.Now().UnixNano(), Seq: 1, FailureDomain: o.FailureDomain, Region: o.Region},
		positions: make(map[string]position),
		records: records{
			domain: o.FailureDomain, region: o.Region,
			byNode: make(map[string]*pb.NodeRecord), known: make(map[string]*Endpoint),
		},
	}
	a.view.Store(&View{})
	return a
}

// View returns the current view, which is never nil.
func (a *Attachment) View() *View { return a.view.Load() }

// Publish changes the upstream in the record of this node and reports it at once.
func (a *Attachment) Publish(u *pb.Announcement) {
	a.mu.Lock()
	next := proto.CloneOf(a.self)
	next.Instance, next.Service, next.Version = u.GetInstance(), u.GetService(), u.GetVersion()
	next.Slots, next.State, next.ColdMs = u.GetSlots(), u.GetState(), u.GetColdMs()
	if next.GetInstance() != a.self.GetInstance() {
		next.SlowMs, next.FailingPercent = 0, 0
	}
	next.Seq++
	a.self = next
	a.mu.Unlock()
	a.reportNow()
}

// Report changes the condition of the upstream in the record of this node and
// reports it at once.
func (a *Attachment) Report(c condition.Condition) {
	a.mu.Lock()
	a.self = proto.CloneOf(a.self)
	a.self.SlowMs, a.self.FailingPercent = uint32(c.Slow.Milliseconds()), c.Failing
	a.self.Seq++
	a.mu.Unlock()
	a.reportNow()
}

// reportNow ends the current poll, so that the next one carries the changed record.
func (a *Attachment) reportNow() {
	select {
	case a.recordChanged <- struct{}{}:
	default:
	}
}

// Run polls until the context ends, and then returns nil.
func (a *Attachment) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		a.selectHost()
		if a.host == "" {
			lifecycle.Pause(ctx, maxRetryPause)
			continue
		}
		response, err := a.poll(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case response != nil:
			a.failures = 0
			hadPlan := a.view.Load().Plan != nil
			a.apply(response)
			if !hadPlan {
				a.returnToOwnDomainHost()
			}
			if !response.GetConfirmed() {
				a.switchWithoutQuorum(ctx)
			} else {
				a.unconfirmed = 0
			}
		case err != nil:
			a.switchAfterFailure(ctx, err)
		}
	}
	return nil
}

// request returns the request of the next poll.
func (a *Attachment) request() *pb.MeshServiceSyncRequest {
	v := a.view.Load()
	r := &pb.MeshServiceSyncRequest{
		HaveState: v.State, TableEpoch: a.positions[a.host].epoch, TableVersion: a.positions[a.host].version, WaitMs: uint32(pollWait.Milliseconds()),
	}
	if v.Plan != nil {
		r.HavePlan = v.Plan.Serial
	} else {
		r.WaitMs = uint32(initialPollWait.Milliseconds())
		r.NoTable = !a.onOwnDomainHost() // without a plan the table is useless, and sending it would cross between failure domains
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.options.Outcomes != nil {
		if o := a.options.Outcomes(); len(o) > 0 {
			r.WaitMs = uint32(reportInterval.Milliseconds())
			a.self = proto.CloneOf(a.self)
			a.self.Outcomes = o
			a.self.Seq++
		}
	}
	r.Self = a.self
	return r
}

// poll sends one poll to the current control host. It ends early, with neither a
// response nor an error, when the own record changes.
func (a *Attachment) poll(ctx context.Context) (*pb.MeshServiceSyncResponse, error) {
	request := a.request()
	remainingWait, deadline := a.pollDeadline.Limits(time.Now(), time.Duration(request.GetWaitMs())*time.Millisecond, pollTimeout)
	request.WaitMs = uint32(remainingWait.Milliseconds())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	type result struct {
		response *connect.Response[pb.MeshServiceSyncResponse]
		err      error
	}
	done := make(chan result, 1)
	client := a.clients.Get(a.host)
	go func() {
		r, err := client.Sync(ctx, connect.NewRequest(request))
		done <- result{r, err}
	}()
	select {
	case r := <-done:
		a.pollDeadline.Reset()
		if r.err != nil {
			return nil, r.err
		}
		return r.response.Msg, nil
	case <-a.recordChanged:
		return nil, nil
	}
}
