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
	// dialTimeout is five round trips between regions. It is below the second after which a lost
	// opening packet is sent again: a host that has just started is reached by a new attempt sooner.
	dialTimeout = 200 * time.Millisecond
	// A node probes every member of its failure domain in turn. With a long idle time
	// it keeps a connection to each of them, and their pings cost more than a new
	// connection per probe.
	idleConnTimeout = 15 * time.Second
	// A silent partition leaves connections open; pings find that out.
	pingAfterIdle = 2 * time.Second
	pingTimeout   = 2 * time.Second
)

// Topology classifies a destination (IP:port) as seen from this process.
type Topology interface {
	LinkTo(address string) ports.Link
}

// Options of a Client.
type Options struct {
	Topology Topology
	// LocalIP is the source address of connections; nil lets the system choose.
	LocalIP net.IP
	// Delay is added to each request to an address; nil adds none. Tests use it for the region link.
	Delay func(address string) time.Duration
	// Blocked reports a destination that is cut off; nil blocks none. Tests use it for partitions.
	Blocked func(address string) bool
	// Dial opens connections; nil uses TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Transport replaces the network; nil uses TCP. Measurements with more processes than sockets use it.
	Transport http.RoundTripper
}

// LinkBytes counts the bytes of one link class.
type LinkBytes struct {
	Sent, Received atomic.Uint64
}

// Client makes HTTP clients for connect and counts their bytes per link class.
type Client struct {
	options Options
	http    *http.Client
	bytes   [ports.LinkCount]LinkBytes
}

// NewClient returns a client whose connections are shared by all connect clients of a process.
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
	c.http = &http.Client{Transport: &delayTransport{base: base, options: options}}
	return c
}

// HTTP is the client to give to connect constructors, with the URL from URL.
func (c *Client) HTTP() *http.Client { return c.http }

// URL of a peer address (IP:port) for connect constructors.
func URL(address string) string { return "http://" + address }

// Bytes counted so far for one link class.
func (c *Client) Bytes(l ports.Link) *LinkBytes { return &c.bytes[l] }

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

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

type delayTransport struct {
	base    http.RoundTripper
	options Options
}

// CloseIdleConnections passes on what http.Client asks of its transport.
func (t *delayTransport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// RoundTrip adds the delay once per request, which is the round trip of the link.
func (t *delayTransport) RoundTrip(r *http.Request) (*http.Response, error) {
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
