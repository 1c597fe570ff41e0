package simupstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/response"
	"github.com/rattanfield/rattanfield/ports"
)

const (
	announceInterval = time.Second
	announceTimeout  = 900 * time.Millisecond // below the interval, so that requests do not overlap
	leaveTimeout     = 7 * time.Second        // the node answers once drained, or with 202 after 5 s
)

// Announcer announces the upstream to the node on this host.
type Announcer struct {
	client *fasthttp.Client
	node   string
	body   []byte
	drain  time.Duration // bounds the wait in leave
	// StatusChanged is called with the first announcement error after a success, with nil at
	// the first success after an error, and with each error of the leave message.
	StatusChanged func(error)
}

// NewAnnouncer returns an announcer of the upstream that the options describe.
func NewAnnouncer(o Options) *Announcer {
	body, err := json.Marshal(ports.UpstreamAnnouncement{
		Service: o.Service, Version: o.Version, Address: o.Address,
		Slots: o.Slots, MaxConnections: o.MaxConnections, Instance: o.Instance,
	})
	if err != nil {
		panic("simupstream: " + err.Error()) // cannot happen: the type holds only strings and numbers
	}
	client := &fasthttp.Client{Dial: response.Dial(func(address string) (net.Conn, error) {
		return net.DialTimeout("tcp", address, announceTimeout)
	})}
	return &Announcer{client: client, node: o.NodeAdmin, body: body, drain: o.Drain, StatusChanged: func(error) {}}
}

// Run announces the upstream every second until the context ends. Then it tells the node
// that the upstream leaves, and waits until the node has drained or Options.Drain has passed.
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

// leave tells the node that the upstream leaves. It returns when the node has finished the
// requests that it accepted, when a request to the node fails, or after the drain time.
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

// post sends the announcement to a path of the node. Any status from 300 on is an error.
func (a *Announcer) post(path string, timeout time.Duration) (status int, err error) {
	request, reply := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(reply)
	request.SetRequestURI("http://" + a.node + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetBody(a.body)
	if err := a.client.DoTimeout(request, reply, timeout); err != nil {
		return 0, fmt.Errorf("%s at node %s: %w", path, a.node, err)
	}
	if status = reply.StatusCode(); status >= fasthttp.StatusMultipleChoices {
		return status, fmt.Errorf("%s at node %s: status %d: %s", path, a.node, status, reply.Body())
	}
	return status, nil
}
