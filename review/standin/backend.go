package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// backend is the application of a side machine: it checks in every heartbeat and runs requests.
type backend struct {
	machine *machine
	id      string
	born    int64
	record  *recorder
	work    func(path string) time.Duration
	server  *http.Server
	seq     atomic.Uint64
	stop    chan struct{}
	client  *http.Client
	version string

	mu  sync.Mutex
	ran map[string]int // runs by the id of the request
}

// startBackend starts the back end of a side machine.
func startBackend(m *machine, version string, work func(path string) time.Duration) (*backend, error) {
	b := &backend{
		machine: m, id: "i-" + strings.ReplaceAll(m.ip, ".", "-") + "-" + version, born: time.Now().UnixMilli(), record: m.site.record, work: work, version: version,
		stop: make(chan struct{}), client: &http.Client{Timeout: time.Second}, ran: make(map[string]int),
	}
	l, err := net.Listen("tcp", at(m.ip, portApp))
	if err != nil {
		return nil, err
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	go b.checkIn()
	return b, nil
}

func (b *backend) close() {
	close(b.stop)
	_ = b.server.Close()
}

// checkIn sends a check-in every heartbeat to the node on the same machine.
func (b *backend) checkIn() {
	for {
		wait := heartbeat
		if !b.send("instances.heartbeat", object{
			"service": serviceName, "address": at(b.machine.ip, portApp), "zone": b.machine.zone, "version": b.version, "slots": slots, "state": "ready",
			"cold_left": "0ms", "seq": b.seq.Add(1), "born": b.born,
		}) {
			wait = 200 * time.Millisecond
		}
		select {
		case <-b.stop:
			return
		case <-time.After(wait):
		}
	}
}

// send sends a check-in to the node on the same machine and reports whether it was acknowledged.
func (b *backend) send(call string, body object) bool {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // cannot happen: the values are those above
	}
	url := fmt.Sprintf("http://%s%s?call=%s&of=%s", at(b.machine.ip, portControl), wire.RPCPath, call, b.id)
	resp, err := b.client.Post(url, "application/json", bytes.NewReader(text))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

const (
	slots     = 9
	heartbeat = 1500 * time.Millisecond
)

// serve runs a request: it reads the body, works, and answers with the id, a receipt and a body that names the request.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.ID)
	w.Header().Set(wire.ID, id)
	w.Header().Set("X-Instance-Id", b.id)
	if r.URL.Path == "/healthz" {
		return
	}
	if expected := r.Header.Get(wire.ExpectedInstance); expected != "" && expected != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.ran[id]++
	b.mu.Unlock()
	n, err := io.Copy(io.Discard, r.Body)
	b.record.addf("backend", "%s runs %s %s, %d bytes, err %v", b.id, id, r.URL.Path, n, err)
	work := b.work(r.URL.Path)
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil && time.Duration(ms)*time.Millisecond < work {
		time.Sleep(time.Duration(ms) * time.Millisecond)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(wire.Signature, "signed-"+id)
	fmt.Fprintf(w, "body of %s from %s", id, b.id)
}

func (b *backend) runs(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ran[id]
}
