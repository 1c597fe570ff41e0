package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two check-ins, as the settings state it.
const heartbeat = 870 * time.Millisecond

// backend stands in for the backend of a machine: it checks in at the node beside it, and answers what is meant for it.
type backend struct {
	c             *caseRun
	site          *site
	host          int
	id, service   string
	version, zone string
	work          time.Duration
	onRun         func(b *backend, attempt string)

	mu     sync.Mutex
	state  string
	seq    int
	born   int64
	server *http.Server
	stop   context.CancelFunc
}

// start listens and begins to check in.
func (b *backend) start() error {
	l, err := net.Listen("tcp", b.site.address(b.host, portApp))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	b.state, b.born, b.stop = "ready", time.Now().UnixMilli(), stop
	b.zone = zones[(b.host-1)%len(zones)].zone
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.server.Serve(l) }()
	go b.checkIn(ctx)
	return nil
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(wire.ID)
	w.Header().Set(wire.ID, attempt)
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", b.id)
		return
	}
	if want := r.Header.Get(wire.ExpectedInstance); want != "" && want != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.onRun(b, attempt)
	time.Sleep(b.work)
	w.Header().Set(wire.Signature, "receipt-"+attempt)
	_, _ = fmt.Fprintf(w, "%s %s", b.id, b.version)
}

func (b *backend) checkIn(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		b.beat()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

var checkInClient = &http.Client{Timeout: time.Second}

// beat sends one check-in and reports whether it was acknowledged.
func (b *backend) beat() bool {
	b.mu.Lock()
	b.seq++
	body, _ := json.Marshal(map[string]any{
		"service": b.service, "address": b.site.address(b.host, portApp), "zone": b.zone, "version": b.version, "slots": 9,
		"state": b.state, "cold_left": "0ms", "seq": b.seq, "born": b.born,
	})
	b.mu.Unlock()
	return b.call("instances.heartbeat", string(body))
}

func (b *backend) call(name, body string) bool {
	resp, err := checkInClient.Post(callURL(b.site.address(b.host, portControl), name)+"&of="+b.id, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// leave empties the backend as planned: it reports draining, goes on to serve for a while after the ack, deregisters and ends.
func (b *backend) leave(serveOn time.Duration) {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	for range 5 {
		if b.beat() {
			break
		}
	}
	b.c.record("%s of %s reports draining", b.id, b.version)
	time.Sleep(serveOn)
	b.call("instances.deregister", "")
	b.end()
	b.c.record("%s of %s has ended", b.id, b.version)
}

// end closes the backend.
func (b *backend) end() {
	b.stop()
	_ = b.server.Close()
}
