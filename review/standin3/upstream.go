package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// workTime is how long an upstream works on a request.
const workTime = 20 * time.Millisecond

// announceTimeout is the time after which an upstream asks another host to take its announcement.
const announceTimeout = time.Second

// runRequest is a request that an upstream has run.
type runRequest struct {
	id string
	at time.Time // when the upstream began to work on it
}

// upstream is a stand-in for an upstream on the host of a node.
type upstream struct {
	host     *host
	instance string
	version  string
	born     int64
	server   *http.Server
	cancel   context.CancelFunc

	mu    sync.Mutex
	seq   int
	state string
	ran   []runRequest
}

// newUpstream starts an upstream that announces itself until its end.
func newUpstream(h *host, instance, version string) (*upstream, error) {
	u := &upstream{host: h, instance: instance, version: version, born: time.Now().UnixMilli(), state: "ready"}
	l, err := net.Listen("tcp", h.address(offsetUpstream))
	if err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: time.Minute}
	go func() { _ = u.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	go u.announceRepeatedly(ctx)
	h.site.record.log("upstream %s (%s %s): started on %s", instance, h.service, version, h.name)
	return u, nil
}

// startUpstreams starts an upstream of a version on each host with a node. It returns those that it has started.
func (s *site) startUpstreams(version string) ([]*upstream, error) {
	var out []*upstream
	for i, h := range s.nodes() {
		u, err := newUpstream(h, "i-"+strconv.Itoa(i+1), version)
		if err != nil {
			return out, err
		}
		out = append(out, u)
	}
	return out, nil
}

func endAll(upstreams []*upstream) {
	for _, u := range upstreams {
		u.end()
	}
}

// ServeHTTP runs a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(wire.ID)
	w.Header().Set(wire.ID, id)
	if want := r.Header.Get(wire.ExpectedInstance); want != "" && want != u.instance {
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	began := time.Now()
	u.mu.Lock()
	u.ran = append(u.ran, runRequest{id: id, at: began})
	u.mu.Unlock()
	u.host.site.record.log("upstream %s (%s): runs %s from %s", u.instance, u.version, id, r.Header.Get(wire.Caller))
	time.Sleep(workTime)
	w.Header().Set(wire.Signature, u.instance+"."+id)
	_, _ = fmt.Fprintf(w, "%s ran %s\n", u.instance, id)
}

// requests returns what the upstream has run.
func (u *upstream) requests() []runRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]runRequest(nil), u.ran...)
}

func (u *upstream) announceRepeatedly(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		u.announce()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// announcement returns the next announcement, encoded.
func (u *upstream) announcement() (b []byte, seq int, state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seq++
	b, _ = json.Marshal(map[string]any{ // of strings and numbers, so it cannot fail
		"service": u.host.service, "address": u.host.address(offsetUpstream), "zone": zones[u.host.zone].name, "version": u.version,
		"slots": 9, "state": u.state, "cold_left": "0ms", "seq": u.seq, "born": u.born,
	})
	return b, u.seq, u.state
}

// announce sends an announcement to the node on the same host and then to control hosts, until one acknowledges it.
func (u *upstream) announce() {
	b, seq, state := u.announcement()
	for _, h := range append([]*host{u.host}, u.host.site.hosts[:controlHosts]...) {
		if u.deliver(h, b) {
			u.host.site.record.log("upstream %s: check-in %d (%s) acknowledged by %s", u.instance, seq, state, h.name)
			return
		}
	}
	u.host.site.record.log("upstream %s: check-in %d (%s) not acknowledged", u.instance, seq, state)
}

// announceLate sends an announcement whose first delivery takes a time. The upstream gets no acknowledgement within a second
// and goes on with the next host.
func (u *upstream) announceLate(late time.Duration) {
	b, seq, state := u.announcement()
	r := u.host.site.record
	r.log("upstream %s: check-in %d (%s) sent to %s, delayed on its way", u.instance, seq, state, u.host.name)
	time.AfterFunc(late, func() {
		r.log("upstream %s: check-in %d (%s) arrives at %s, acknowledged: %t", u.instance, seq, state, u.host.name, u.deliver(u.host, b))
	})
	time.AfterFunc(announceTimeout, func() {
		next := u.host.site.hosts[0]
		r.log("upstream %s: check-in %d (%s) sent to %s, acknowledged: %t", u.instance, seq, state, next.name, u.deliver(next, b))
	})
}

func (u *upstream) deliver(h *host, b []byte) bool {
	return post(h.address(offsetControl), "instances.heartbeat", u.instance, b, announceTimeout) == http.StatusOK
}

// leave tells the node on the same host that the upstream leaves, without having reported that it drains. It returns when the
// node has acknowledged it. The upstream goes on serving and announces itself no more.
func (u *upstream) leave() (time.Time, error) {
	u.cancel()
	b, _ := json.Marshal(map[string]any{"born": u.born})
	if status := post(u.host.address(offsetControl), "instances.deregister", u.instance, b, announceTimeout); status != http.StatusOK {
		return time.Time{}, fmt.Errorf("the departure of %s was answered with %d", u.instance, status)
	}
	now := time.Now()
	u.host.site.record.log("upstream %s: departure acknowledged by %s", u.instance, u.host.name)
	return now, nil
}

// end ends the upstream.
func (u *upstream) end() {
	u.cancel()
	_ = u.server.Close()
	u.host.site.record.log("upstream %s: ended", u.instance)
}

// post calls a host of the system and returns the status of the response, 0 without one.
func post(address, call, of string, body []byte, timeout time.Duration) int {
	status, _ := postForBody(address, call, of, body, timeout)
	return status
}

// postForBody is like post and returns the body of the response as well.
func postForBody(address, call, of string, body []byte, timeout time.Duration) (int, []byte) {
	url := "http://" + address + wire.RPCPath + "?call=" + call
	if of != "" {
		url += "&of=" + of
	}
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, content
}
