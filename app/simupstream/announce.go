package simupstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/ports"
)

const (
	announceInterval = time.Second
	announceTimeout  = 900 * time.Millisecond // below the interval: one request at a time
	leaveTimeout     = 7 * time.Second        // the node answers when it has drained, or 202 after 5 s
)

// Announcer tells the node on this host about the upstream.
type Announcer struct {
	client *fasthttp.Client
	node   string
	body   []byte
	drain  time.Duration
	// StatusChanged is called with the first error after a success, and with nil when it works again.
	StatusChanged func(error)
}

// NewAnnouncer returns an announcer for the options.
func NewAnnouncer(o Options) *Announcer {
	body, err := json.Marshal(ports.Upstream{
		Service: o.Service, Version: o.Version, Address: o.Address,
		Slots: o.Slots, MaxConnections: o.MaxConnections, Instance: o.Instance,
	})
	if err != nil {
		panic("simupstream: " + err.Error()) // the type has only texts and numbers
	}
	client := &fasthttp.Client{Dial: func(address string) (net.Conn, error) {
		return net.DialTimeout("tcp", address, announceTimeout)
	}}
	return &Announcer{client: client, node: o.NodeAdmin, body: body, drain: o.Drain, StatusChanged: func(error) {}}
}

// Run announces every second until the context ends, then tells the node that
// the upstream leaves.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	working := true
	for {
		_, err := a.post("/v1/announce", announceTimeout)
		if (err == nil) != working {
			working = err == nil
			a.StatusChanged(err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			a.leave()
			a.client.CloseIdleConnections()
			return
		}
	}
}

// leave returns when the node has finished what it accepted, or cannot be asked.
func (a *Announcer) leave() {
	for end := time.Now().Add(a.drain); ; {
		status, err := a.post("/v1/leave", leaveTimeout)
		if err != nil {
			a.StatusChanged(err)
		}
		if err != nil || status != fasthttp.StatusAccepted || time.Now().After(end) {
			return
		}
	}
}

func (a *Announcer) post(path string, timeout time.Duration) (status int, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + a.node + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetBody(a.body)
	if err := a.client.DoTimeout(request, response, timeout); err != nil {
		return 0, fmt.Errorf("%s at node %s: %w", path, a.node, err)
	}
	if status = response.StatusCode(); status >= fasthttp.StatusMultipleChoices {
		return status, fmt.Errorf("%s at node %s: status %d: %s", path, a.node, status, response.Body())
	}
	return status, nil
}
