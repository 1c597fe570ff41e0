package attach

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/core/plan"
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
	failures    int
	unconfirmed int
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
	next.Seq++
	a.self = next
	a.mu.Unlock()
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
			a.apply(response)
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

// Last reports this node's record once more, for example when it stops.
func (a *Attachment) Last(ctx context.Context) {
	if a.host == "" {
		return
	}
	request := a.request()
	request.WaitMs = 0
	_, err := a.clients.Get(a.host).Sync(ctx, connect.NewRequest(request))
	if err != nil {
		_ = a.logger.Log("event", "last report failed", "host", a.host, "err", err)
	}
}

// choose keeps the control hosts by preference and returns to the best one after a while.
func (a *Attachment) choose() {
	addresses := a.addresses()
	if len(addresses) == 0 {
		a.host = ""
		return
	}
	if a.hostIndex > 0 && a.failures == 0 && time.Since(a.lastSwitch) > homeRetry {
		a.hostIndex = 0
	}
	if next := addresses[a.hostIndex%len(addresses)]; next != a.host {
		a.host, a.lastSwitch = next, time.Now()
		a.bump()
	}
}

// bump makes this node's record newer than the one that other control hosts have.
func (a *Attachment) bump() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.self = proto.CloneOf(a.self)
	a.self.Seq++
}

// addresses of control hosts: those of the same failure domain first, then of
// the same region, each in an order of this node's own.
func (a *Attachment) addresses() []string {
	rank := func(m *pb.Member) int {
		switch {
		case m.GetFailureDomain() == a.options.FailureDomain:
			return 0
		case m.GetRegion() == a.options.Region:
			return 1
		default:
			return 2
		}
	}
	var out []string
	hosts := slices.Clone(a.hosts)
	slices.SortStableFunc(hosts, func(x, y *pb.Member) int { return rank(x) - rank(y) })
	for _, m := range hosts {
		out = append(out, m.GetAddress())
	}
	for _, s := range a.options.Seeds() {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
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
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.GetWaitMs())*time.Millisecond+pollTimeout)
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
		if r.err != nil {
			return nil, r.err
		}
		return r.response.Msg, nil
	case <-a.kick:
		return nil, nil
	}
}

func (a *Attachment) fail(ctx context.Context, err error) {
	_ = a.logger.Log("event", "control host lost", "host", a.host, "err", err, "failures", a.failures+1)
	a.failures++
	a.hostIndex++
	a.lastSwitch = time.Now()
	if hosts := len(a.addresses()); hosts > 0 && a.failures%hosts == 0 {
		pause := min(retryPause<<min(a.failures/hosts, 4), maxRetryPause)
		lifecycle.Pause(ctx, pause/2+rand.N(pause))
	}
}

// tryOther leaves a control host without a quorum, unless no other has one. A
// node that has no plan yet stays for one more poll, because the host may be
// about to learn it.
func (a *Attachment) tryOther(ctx context.Context) {
	a.unconfirmed++
	if a.view.Load().Plan == nil && a.unconfirmed%2 == 1 {
		return
	}
	hosts := len(a.addresses())
	if a.view.Load().Plan != nil && a.unconfirmed%max(hosts, 1) == 0 {
		lifecycle.Pause(ctx, maxRetryPause)
	}
	if hosts > 1 {
		a.hostIndex++
	}
}

func (a *Attachment) apply(r *pb.MeshServiceSyncResponse) {
	now := time.Now()
	old := a.view.Load()
	next := *old
	if r.GetConfirmed() {
		next.Received = now
	}
	if len(r.GetControlHosts()) > 0 {
		a.hosts = r.GetControlHosts()
	}
	if len(r.GetPlanPayload()) > 0 && (old.Plan == nil || r.GetPlanSerial() > old.Plan.Serial) {
		p, err := plan.Decode(r.GetPlanPayload())
		if err != nil {
			_ = a.logger.Log("event", "plan not readable", "serial", r.GetPlanSerial(), "host", a.host, "err", err)
			return
		}
		next.Plan = plan.NewTable(p, r.GetPlanSerial())
		_ = a.logger.Log("event", "plan in force", "plan", p.GetNumber(), "serial", r.GetPlanSerial(), "host", a.host, "confirmed", r.GetConfirmed())
	}
	if r.GetStateIndex() >= old.State {
		a.logRollouts(old, r)
		next.State = r.GetStateIndex()
		next.Rollouts = make(map[string]*pb.Rollout, len(r.GetRollouts()))
		for _, o := range r.GetRollouts() {
			next.Rollouts[o.GetService()] = o
		}
	}
	if len(a.tables) > maxTables {
		clear(a.tables)
	}
	a.tables[a.host] = position{epoch: r.GetTableEpoch(), version: r.GetTableVersion()}
	if r.GetTableWhole() || len(r.GetRecords()) > 0 || len(a.records.absent) > 0 {
		a.records.apply(r.GetTableWhole(), r.GetRecords(), now)
		a.outrun(a.records.byNode[a.options.Node])
		next.Endpoints, next.Nodes = a.records.endpoints(now)
	}
	a.view.Store(&next)
	if a.options.OnChange != nil {
		a.options.OnChange(&next)
	}
}

// outrun makes the own record newer than one of an earlier process whose clock was ahead.
func (a *Attachment) outrun(own *pb.NodeRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if own.GetEpoch() > a.self.GetEpoch() {
		a.self = proto.CloneOf(a.self)
		a.self.Epoch = own.GetEpoch() + 1
	}
}

func (a *Attachment) logRollouts(old *View, r *pb.MeshServiceSyncResponse) {
	for _, o := range r.GetRollouts() {
		b := old.Rollouts[o.GetService()]
		if b.GetStep() != o.GetStep() || b.GetSerial() != o.GetSerial() {
			_ = a.logger.Log("event", "rollout step in force", "service", o.GetService(), "version", o.GetTargetVersion(),
				"phase", o.GetPhase(), "share_permille", o.GetSharePermille(), "reason", o.GetReason())
		}
	}
}
