package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/platform/standin"
)

const (
	service   = "soaked"
	beatEvery = 300 * time.Millisecond
	slots     = 8
)

// upstream stands for the application beside a node. Its processes follow each
// other at one address.
type upstream struct {
	ip, domain string
	record     func(id string)

	mu       sync.Mutex
	instance string
	born     int64
	seq      uint64
	number   int
	draining bool
	stop     chan struct{}
	listener net.Listener
	link     *link // at the address that the upstream states
}

func startUpstream(ip, domain string, record func(id string)) (*upstream, error) {
	u := &upstream{ip: ip, domain: domain, record: record, stop: make(chan struct{})}
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, eris.Wrap(err, "upstream")
	}
	u.listener = l
	if u.link, err = startLink(standin.AppAddress(ip), l.Addr().String()); err != nil {
		return nil, err
	}
	u.next(false)
	s := &fasthttp.Server{Handler: standin.UpstreamHandler(u.current, u.run), NoDefaultServerHeader: true}
	go func() { _ = s.Serve(l) }()
	go u.beat()
	return u, nil
}

func (u *upstream) current() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.instance
}

// next replaces the process; it knows nothing of the one before.
func (u *upstream) next(sameID bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !sameID {
		u.number++
	}
	u.instance = fmt.Sprintf("i-%s-%d", u.ip, u.number)
	u.born, u.seq, u.draining = max(time.Now().UnixMilli(), u.born+1), 0, false
}

// leave drains the process for the bound of the settings, then replaces it.
func (u *upstream) leave() {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	u.checkIn()
	time.AfterFunc(3*time.Second, func() { u.next(false) })
}

func (u *upstream) run(s standin.ReceivedRequest) (string, bool) {
	u.record(s.ID)
	time.Sleep(time.Duration(2+rand.IntN(20)) * time.Millisecond)
	return "body-" + s.ID, true
}

func (u *upstream) checkIn() {
	u.mu.Lock()
	u.seq++
	b := standin.Heartbeat{Service: service, Zone: u.domain, Version: "v1", Slots: slots, Seq: u.seq, Born: u.born}
	instance, draining := u.instance, u.draining
	u.mu.Unlock()
	standin.SendHeartbeat(u.ip, instance, b, draining) // the next one follows anyway
}

func (u *upstream) beat() {
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-u.stop:
			return
		case <-ticker.C:
			u.checkIn()
		}
	}
}

func (u *upstream) close() {
	close(u.stop)
	u.link.close()
	_ = u.listener.Close()
}
