package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

const (
	service          = "soaked"
	announceInterval = 300 * time.Millisecond
	slots            = 8
)

// upstream simulates the application beside a node. Its simulated processes replace
// each other at one address.
type upstream struct {
	ip, domain string
	seed       uint64 // of the work times
	observer   upstreamObserver

	mu             sync.Mutex
	instance       string
	born           int64  // start of the current process in ms since 1970, always increasing
	seq            uint64 // of the last announcement
	instanceNumber int    // distinguishes the instance ids
	draining       bool
	down           bool // it has crashed and announces nothing
	coldUntil      time.Time
	coldUnknown    bool // its node has not received an announcement of the process that replaced another with the same id
	stop           chan struct{}
	listener       net.Listener
	link           *link // listens at the address of the application and forwards to listener
}

// upstreamObserver is told what happens to an upstream.
type upstreamObserver interface {
	received(s platformtest.ReceivedRequest)
	began(id string, work time.Duration)    // a request begins to run
	crashed(path string) (restarted func()) // a crashing request begins to run
	replaced(sameID bool, coldUntil time.Time)
	announcedCold(until time.Time) // the node received the first announcement of a process with the id of the one before
}

// startUpstream starts an upstream that announces itself to the node with the given IP
// address.
func startUpstream(ip, domain string, seed uint64, o upstreamObserver) (*upstream, error) {
	u := &upstream{ip: ip, domain: domain, seed: seed, observer: o, stop: make(chan struct{})}
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, eris.Wrap(err, "upstream")
	}
	u.listener = l
	if u.link, err = startLink(platformtest.AppAddress(ip), l.Addr().String()); err != nil {
		return nil, err
	}
	u.startProcess(false, 0)
	handler := platformtest.Upstream{Instance: u.currentInstance, Received: o.received, Run: u.run, ColdLeft: u.coldLeft}.Handler()
	s := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true}
	go func() { _ = s.Serve(l) }()
	go u.sendAnnouncements()
	return u, nil
}

func (u *upstream) currentInstance() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.instance
}

func (u *upstream) coldLeft() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(0, time.Until(u.coldUntil))
}

// replace replaces the process by a cold one without its state, which keeps the instance id if
// sameID is set.
func (u *upstream) replace(sameID bool) { u.startProcess(sameID, coldStart) }

// startProcess starts a process that is cold for a time.
func (u *upstream) startProcess(sameID bool, cold time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if cold > 0 {
		u.coldUntil, u.coldUnknown = time.Now().Add(cold), sameID
		u.observer.replaced(sameID, u.coldUntil)
	}
	if !sameID {
		u.instanceNumber++
	}
	u.instance = fmt.Sprintf("i-%s-%d", u.ip, u.instanceNumber)
	u.born, u.seq, u.draining, u.down = max(time.Now().UnixMilli(), u.born+1), 0, false, false
}

// leave drains the process and replaces it after 3 s, which is longer than the drain
// bound of the settings.
func (u *upstream) leave() {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	u.sendAnnouncement()
	time.AfterFunc(3*time.Second, func() { u.replace(false) })
}

// downTime is how long an upstream is away after a crash.
const downTime = 2500 * time.Millisecond

// end ends the process after its work and replaces it by a new one after downTime.
func (u *upstream) end(work time.Duration) {
	time.Sleep(work)
	u.mu.Lock()
	u.down = true
	u.mu.Unlock()
	u.link.down(downTime)
	u.replace(false)
}

// run runs a request for its work time, or until its deadline if that comes first.
func (u *upstream) run(s platformtest.ReceivedRequest) (string, int) {
	if isCrashing(s.Path) {
		restarted := u.observer.crashed(s.Path)
		u.end(workTime(u.seed, s))
		restarted()
		return "", http.StatusInternalServerError // not seen by anybody
	}
	work := workTime(u.seed, s)
	u.observer.began(s.ID, work)
	if s.Remaining > 0 && work > s.Remaining {
		time.Sleep(s.Remaining)
		return "deadline", http.StatusGatewayTimeout
	}
	time.Sleep(work)
	return "body-" + s.ID, http.StatusOK
}

// Work times of requests on the long routes: log-normal around typicalWork, and for some of the
// requests slowWork to 3 x slowWork. The users' upstreams need tens to hundreds of milliseconds,
// and some of their requests 1 to 3 s.
const (
	typicalWork     = 80 * time.Millisecond
	workSpread      = 0.7
	minWork         = 10 * time.Millisecond
	maxWork         = 800 * time.Millisecond
	slowWork        = time.Second
	slowWorkPercent = 5
)

// workTime returns the work time of a request, which depends only on the seed and on the id of
// the request: 2 to 21 ms, and longer on the long routes.
func workTime(seed uint64, s platformtest.ReceivedRequest) time.Duration {
	random := rand.New(rand.NewPCG(seed, xxhash.Sum64String(s.ID)))
	switch {
	case !strings.HasPrefix(s.Path, platformtest.LongReadPath) && !strings.HasPrefix(s.Path, platformtest.LongWritePath):
		return time.Duration(2+random.IntN(20)) * time.Millisecond
	case random.IntN(100) < slowWorkPercent:
		return slowWork + time.Duration(random.Float64()*2*float64(slowWork))
	}
	work := time.Duration(math.Exp(workSpread*random.NormFloat64()) * float64(typicalWork))
	return min(max(work, minWork), maxWork)
}

// sendAnnouncement sends one announcement to the node.
func (u *upstream) sendAnnouncement() {
	u.mu.Lock()
	if u.down {
		u.mu.Unlock()
		return
	}
	u.seq++
	a := platformtest.Announcement{
		Service: service, Zone: u.domain, Version: "v1", Slots: slots, Seq: u.seq, Born: u.born,
		ColdLeft: fmt.Sprint(max(0, time.Until(u.coldUntil)).Milliseconds(), "ms"),
	}
	instance, draining := u.instance, u.draining
	u.mu.Unlock()
	if platformtest.SendAnnouncement(u.ip, instance, a, draining) { // a lost announcement is made up by the next one
		u.announced(a.Born)
	}
}

// announced records that the node received an announcement of the process that started at a time.
func (u *upstream) announced(born int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.born == born && u.coldUnknown {
		u.coldUnknown = false
		u.observer.announcedCold(u.coldUntil)
	}
}

// sendAnnouncements sends an announcement every announceInterval until the upstream
// is closed.
func (u *upstream) sendAnnouncements() {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-u.stop:
			return
		case <-ticker.C:
			u.sendAnnouncement()
		}
	}
}

// close ends the announcements, the link and the listener.
func (u *upstream) close() {
	close(u.stop)
	u.link.close()
	_ = u.listener.Close()
}
