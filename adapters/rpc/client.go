package rpc

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rattanfield/rattanfield/ports"
)

const (
	// dialTimeout is five round trips between regions. TCP retransmits a lost SYN only after 1 s; with a
	// shorter timeout, a new attempt reaches a newly started host earlier.
	dialTimeout = 200 * time.Millisecond
	// A node probes every member of its failure domain in turn. With a longer idle
	// timeout it would keep a connection to each of them, whose pings cost more than
	// a new connection per probe.
	idleConnTimeout = 15 * time.Second
	// A partition leaves connections open without an error; pings detect it.
	pingAfterIdle = 2 * time.Second
	pingTimeout   = 2 * time.Second
)

// Topology classifies destinations by their link.
type Topology interface {
	// LinkTo returns the link class of the path from this process to an address (IP:port).
	LinkTo(address string) ports.Link
}

// Options configure a Client.
type Options struct {
	// Topology selects the byte counters of a connection; nil counts all bytes as LinkDomain.
	Topology Topology
	// LocalIP is the source address of connections; nil lets the operating system choose.
	LocalIP net.IP
	// Delay returns a delay that is added to each request to an address (IP:port); nil adds none.
	// Tests use it to simulate links between regions.
	Delay func(address string) time.Duration
	// Blocked reports whether requests to an address (IP:port) hang until their context ends; nil
	// blocks none. Tests use it to simulate partitions.
	Blocked func(address string) bool
	// Dial opens connections; nil uses TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Transport replaces the HTTP transport; nil uses TCP. Measurements that simulate more processes
	// than the host has sockets for use it.
	Transport http.RoundTripper
}

// LinkBytes counts the bytes sent and received over one link class.
type LinkBytes struct {
	Sent, Received atomic.Uint64
}

// Client provides the HTTP client of connect clients and counts its bytes per link class.
type Client struct {
	options Options
	http    *http.Client
	bytes   [ports.LinkCount]LinkBytes
}

// NewClient returns a client. All connect clients of a process share its connections.
func NewClient(options Options) *Client {
	if options.Dial == nil {
		dialer := &net.Dialer{}
		if options.LocalIP != nil {
			dialer.LocalAddr = &net.TCPAddr{IP: options.LocalIP}
		}
		options.Dial = dialer.DialContext
	}
	c := &Client{options: options}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext:     c.dial,
		Protocols:       protocols,
		IdleConnTimeout: idleConnTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfterIdle, PingTimeout: pingTimeout},
	}
	var base http.RoundTripper = transport
	if options.Transport != nil {
		base = options.Transport
	}
	c.http = &http.Client{Transport: &faultTransport{base: base, options: options}}
	return c
}

// HTTP returns the HTTP client to pass to connect constructors, together with URL.
func (c *Client) HTTP() *http.Client { return c.http }

// URL returns the base URL of a peer address (IP:port) for connect constructors.
func URL(address string) string { return "http://" + address }

// Bytes returns the byte counters of a link class.
func (c *Client) Bytes(l ports.Link) *LinkBytes { return &c.bytes[l] }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// dial opens a connection whose bytes are counted for the link class of the address.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.options.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	link := ports.LinkDomain
	if c.options.Topology != nil {
		link = c.options.Topology.LinkTo(address)
	}
	return &countingConn{Conn: conn, bytes: &c.bytes[link]}, nil
}

type countingConn struct {
	net.Conn
	bytes *LinkBytes
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Sent.Add(uint64(n))
	return n, err
}

// faultTransport adds the delays and the blocking of Options to a transport.
type faultTransport struct {
	base    http.RoundTripper
	options Options
}

// CloseIdleConnections forwards the call to the base transport, for
// http.Client.CloseIdleConnections.
func (t *faultTransport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// RoundTrip adds the delay once per request; it stands for the round-trip time of the link.
func (t *faultTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.options.Blocked != nil && t.options.Blocked(r.URL.Host) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if t.options.Delay != nil {
		if d := t.options.Delay(r.URL.Host); d > 0 {
			timer := time.NewTimer(d)
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-r.Context().Done():
				return nil, r.Context().Err()
			}
		}
	}
	return t.base.RoundTrip(r)
}
