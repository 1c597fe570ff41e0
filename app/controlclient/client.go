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
	"github.com/rattanfield/rattanfield/app/suspectlist"
	"github.com/rattanfield/rattanfield/core/condition"
	"github.com/rattanfield/rattanfield/core/nodetable"
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

// Options configures a Client.
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
	// Suspects are the suspects of the node; nil stands for none.
	Suspects *suspectlist.List
	// Quotas are the quotas of the node; nil stands for none.
	Quotas Quotas
	// OnChange is called with each new view and must not block. It may be nil.
	OnChange func(*View)
}

// Client polls the control hosts on behalf of a node.
type Client struct {
	options       Options
	clients       *rpc.Cache[rattanfieldv1connect.MeshServiceClient]
	logger        log.Logger
	recordChanged chan struct{}
	view          atomic.Pointer[View]
	hostOrder     atomic.Pointer[[]string] // addresses of the control hosts, the current one first; nil before the first poll
	departures    departures

	mu   sync.Mutex
	self *pb.NodeRecord

	// The following fields are owned by the goroutine of Run.
	hosts                 []*pb.Member
	unreadablePlan        uint64 // highest serial of a plan that could not be read, so that it is not sent again; 0: none
	host                  string // address of the current control host
	hostIndex             int    // index in addresses of the control host for the next poll, modulo their number
	lastSwitch            time.Time
	pollDeadline          lifecycle.PollDeadline // bounds the polls at the current control host
	failures              int                    // consecutive failed polls
	unconfirmed           int                    // consecutive responses without a quorum
	ownDomainHostAnswered bool                   // whether the control host of this node's failure domain answered, even without a quorum
	suspectsAcked         uint64                 // version up to which the current control host has the suspects of this node
	suspectsSent          uint64                 // version that the current poll brings it up to
	records               records
	positions             map[string]position // by control host, so that returning to one does not transfer the whole table
}

// maxPositions limits the positions that are kept, including those of control hosts that
// no longer exist.
const maxPositions = 64

// position is the epoch and the versions up to which a node has the table and the suspects of a control host.
type position struct {
	epoch             int64
	version, suspects uint64
	totals            uint64 // 0: the host does not have the demands of this node
}

// New returns a Client, which polls control hosts while Run runs.
func New(o Options, client *rpc.Client, logger log.Logger) *Client {
	if o.Suspects == nil {
		o.Suspects = suspectlist.New(func() {})
	}
	c := &Client{
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
	c.view.Store(&View{})
	return c
}

// View returns the current view, which is never nil.
func (c *Client) View() *View { return c.view.Load() }

// Publish changes the upstream in the record of this node and reports it at once. It ignores
// an announcement that no record can hold, with which every poll would fail.
func (c *Client) Publish(u *pb.Announcement) {
	c.mu.Lock()
	next := proto.CloneOf(c.self)
	next.Instance, next.Service, next.Version = u.GetInstance(), u.GetService(), u.GetVersion()
	next.Slots, next.State, next.ColdMs, next.Stopping = u.GetSlots(), u.GetState(), u.GetColdMs(), u.GetStopping()
	if next.GetInstance() != c.self.GetInstance() {
		next.SlowMs, next.FailingPercent = 0, 0
	}
	next.Seq++
	if !nodetable.ValidRecord(next) {
		c.mu.Unlock()
		return
	}
	c.self = next
	c.mu.Unlock()
	c.reportNow()
}

// Report changes the condition of the upstream in the record of this node and
// reports it at once.
func (c *Client) Report(reported condition.Condition) {
	c.mu.Lock()
	c.self = proto.CloneOf(c.self)
	c.self.SlowMs, c.self.FailingPercent = uint32(reported.Slow.Milliseconds()), reported.Failing
	c.self.Seq++
	c.mu.Unlock()
	c.reportNow()
}

// SuspectsChanged tells that the control hosts need a change of the suspects of this node.
func (c *Client) SuspectsChanged() { c.reportNow() }

// reportNow ends the current poll, so that the next one carries the changed record.
func (c *Client) reportNow() {
	select {
	case c.recordChanged <- struct{}{}:
	default:
	}
}

// Run polls until the context ends, and then returns nil.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.selectHost()
		if c.host == "" {
			lifecycle.Pause(ctx, maxRetryPause)
			continue
		}
		response, err := c.poll(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case response != nil:
			c.failures = 0
			hadPlan := c.view.Load().Plan != nil
			c.apply(response)
			if !hadPlan {
				c.returnToOwnDomainHost()
			}
			if !response.GetConfirmed() {
				c.switchWithoutQuorum(ctx)
			} else {
				c.unconfirmed = 0
			}
		case err != nil:
			c.switchAfterFailure(ctx, err)
		}
	}
	return nil
}

// request returns the request of the next poll.
func (c *Client) request() *pb.MeshServiceSyncRequest {
	v := c.view.Load()
	at := c.positions[c.host]
	r := &pb.MeshServiceSyncRequest{
		HaveState: v.ChangeCount, TableEpoch: at.epoch, TableVersion: at.version, SuspectsVersion: at.suspects, WaitMs: uint32(pollWait.Milliseconds()),
	}
	r.HavePlan = c.unreadablePlan
	if v.Plan != nil {
		r.HavePlan = max(r.GetHavePlan(), v.Plan.Serial)
	} else {
		r.WaitMs = uint32(initialPollWait.Milliseconds())
		r.NoTable = !c.onOwnDomainHost() // without a plan the table is useless, and sending it would cross between failure domains
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.options.Outcomes != nil {
		if o := c.options.Outcomes(); len(o) > 0 {
			r.WaitMs = uint32(reportInterval.Milliseconds())
			c.self = proto.CloneOf(c.self)
			c.self.Outcomes = o
			c.self.Seq++
		}
	}
	r.Self = c.self
	r.Suspects, c.suspectsSent = c.options.Suspects.OwnSince(c.suspectsAcked)
	c.addDemands(r, v)
	return r
}

// poll sends one poll to the current control host. It ends early, with neither a
// response nor an error, when the record of this node changes.
func (c *Client) poll(ctx context.Context) (*pb.MeshServiceSyncResponse, error) {
	request := c.request()
	remainingWait, deadline := c.pollDeadline.Limits(time.Now(), time.Duration(request.GetWaitMs())*time.Millisecond, pollTimeout)
	request.WaitMs = uint32(remainingWait.Milliseconds())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	type result struct {
		response *connect.Response[pb.MeshServiceSyncResponse]
		err      error
	}
	done := make(chan result, 1)
	client := c.clients.Get(c.host)
	go func() {
		r, err := client.Sync(ctx, connect.NewRequest(request))
		done <- result{r, err}
	}()
	select {
	case r := <-done:
		c.pollDeadline.Reset()
		if r.err != nil {
			return nil, r.err
		}
		c.suspectsAcked = c.suspectsSent
		c.takeTotals(request, r.response.Msg)
		return r.response.Msg, nil
	case <-c.recordChanged:
		return nil, nil
	}
}
