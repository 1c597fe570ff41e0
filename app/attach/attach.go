package attach

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
	// pollWait is the long poll at a control host, and so how soon a host that answers
	// nothing is noticed; changes are answered at once.
	pollWait = time.Second
	// pollTimeout bounds a poll beyond its wait: several round trips between regions.
	pollTimeout = 600 * time.Millisecond
	// reportInterval is the poll while a rollout of the local service runs, so that
	// outcomes reach the leader within a fraction of the time to take a version back.
	reportInterval = 250 * time.Millisecond
	// firstWait is the poll of a node without a plan, which asks one host after the other.
	firstWait     = 300 * time.Millisecond
	retryPause    = 50 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// homeRetry is how long a node stays with a less preferred control host.
	homeRetry = 10 * time.Second
)

// Options of an Attachment.
type Options struct {
	Node          string // gate address, the identity of the node
	FailureDomain string
	Region        string
	// Seeds are peer addresses of control hosts to begin with.
	Seeds func() []string
	// Outcomes gives what the local upstream answered in the running rollout; nil: nothing.
	Outcomes func() []*pb.RouteOutcomes
	// OnChange is called with each new view; it must not block.
	OnChange func(*View)
}

// Attachment is the node's tie to the control hosts.
type Attachment struct {
	options Options
	clients *rpc.Cache[rattanfieldv1connect.MeshServiceClient]
	logger  log.Logger
	kick    chan struct{}
	view    atomic.Pointer[View]

	mu   sync.Mutex
	self *pb.NodeRecord

	// Owned by the goroutine of Run.
	hosts       []*pb.Member
	host        string // current control host
	hostIndex   int
	lastSwitch  time.Time
	patience    lifecycle.Patience // with the present host
	failures    int
	unconfirmed int
	homeAnswers bool // the control host of the own failure domain answered, if only without a quorum
	records     records
	tables      map[string]position // by control host, so that a return needs no whole table
}

// maxTables bounds the memory of control hosts that are gone.
const maxTables = 64

// position in the table of a control host.
type position struct {
	epoch   int64
	version uint64
}

// New returns an attachment; Run starts it.
func New(o Options, client *rpc.Client, logger log.Logger) *Attachment {
	a := &Attachment{
		options: o, logger: logger, kick: make(chan struct{}, 1),
		clients: rpc.NewCache(func(address string) rattanfieldv1connect.MeshServiceClient {
			return rattanfieldv1connect.NewMeshServiceClient(client.HTTP(), rpc.URL(address))
		}),
		self:   &pb.NodeRecord{Node: o.Node, Epoch: time.Now().UnixNano(), Seq: 1, FailureDomain: o.FailureDomain, Region: o.Region},
		tables: make(map[string]position),
		records: records{
			domain: o.FailureDomain, region: o.Region,
			byNode: make(map[string]*pb.NodeRecord), learned: make(map[string]*Endpoint),
		},
	}
	a.view.Store(&View{})
	return a
}

// View returns what the node knows now; it is never nil.
func (a *Attachment) View() *View { return a.view.Load() }

// Publish reports the upstream of this node at once.
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

// Report spreads how the upstream of this node does.
func (a *Attachment) Report(c condition.Condition) {
	a.mu.Lock()
	a.self = proto.CloneOf(a.self)
	a.self.SlowMs, a.self.FailingPercent = uint32(c.Slow.Milliseconds()), c.Failing
	a.self.Seq++
	a.mu.Unlock()
	a.reportNow()
}

// reportNow ends the present poll, so that the next one carries the own record.
func (a *Attachment) reportNow() {
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// Run polls until the context ends, and then returns nil.
func (a *Attachment) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		a.choose()
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
				a.goHome()
			}
			if !response.GetConfirmed() {
				a.tryOther(ctx)
			} else {
				a.unconfirmed = 0
			}
		case err != nil:
			a.fail(ctx, err)
		}
	}
	return nil
}

func (a *Attachment) request() *pb.MeshServiceSyncRequest {
	v := a.view.Load()
	r := &pb.MeshServiceSyncRequest{
		HaveState: v.State, TableEpoch: a.tables[a.host].epoch, TableVersion: a.tables[a.host].version, WaitMs: uint32(pollWait.Milliseconds()),
	}
	if v.Plan != nil {
		r.HavePlan = v.Plan.Serial
	} else {
		r.WaitMs = uint32(firstWait.Milliseconds())
		r.NoTable = !a.atHome() // without a plan the table is of no use, and it would cross between failure domains
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

// poll ends early, with neither answer nor error, when the own record changes.
func (a *Attachment) poll(ctx context.Context) (*pb.MeshServiceSyncResponse, error) {
	request := a.request()
	hold, lost := a.patience.Limits(time.Now(), time.Duration(request.GetWaitMs())*time.Millisecond, pollTimeout)
	request.WaitMs = uint32(hold.Milliseconds())
	ctx, cancel := context.WithDeadline(ctx, lost)
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
		a.patience.Answered()
		if r.err != nil {
			return nil, r.err
		}
		return r.response.Msg, nil
	case <-a.kick:
		return nil, nil
	}
}
