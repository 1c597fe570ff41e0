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
)

// Announcer tells the node on this host about the upstream.
type Announcer struct {
	client *fasthttp.Client
	node   string
	body   []byte
	// Failed is called with the first error after a success, and with nil when it works again.
	Failed func(error)
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
	return &Announcer{client: client, node: o.NodeAdmin, body: body, Failed: func(error) {}}
}

// Run announces every second until the context ends, then tells the node that
// the upstream leaves.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	working := true
	for {
		err := a.post("/v1/announce")
		if (err == nil) != working {
			working = err == nil
			a.Failed(err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if err := a.post("/v1/leave"); err != nil {
				a.Failed(err)
			}
			a.client.CloseIdleConnections()
			return
		}
	}
}

func (a *Announcer) post(path string) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + a.node + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetBody(a.body)
	if err := a.client.DoTimeout(request, response, announceTimeout); err != nil {
		return fmt.Errorf("%s at node %s: %w", path, a.node, err)
	}
	if s := response.StatusCode(); s >= 300 {
		return fmt.Errorf("%s at node %s: status %d: %s", path, a.node, s, response.Body())
	}
	return nil
}
