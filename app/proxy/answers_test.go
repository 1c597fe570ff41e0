package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/app/controlclient"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// scriptedServer writes scripted bytes for each request that it reads, whatever the request is.
type scriptedServer struct {
	address string
	mu      sync.Mutex
	script  []string // by request over all connections; the last one repeats
	got     []string // ids of the requests
	conns   int
}

// pause in a script lets the bytes before it arrive in a read of their own.
const pause = "<pause>"

// onlyKept in a script restricts the bytes before it to connections that carried an earlier request.
const onlyKept = "<only kept>"

// hangUp in a script closes the connection.
const hangUp = "<hang up>"

// newScriptedServer starts a server whose i-th request is answered with the i-th script, in which
// {id} stands for the id of the request.
func newScriptedServer(t *testing.T, script ...string) *scriptedServer {
	l := listen(t)
	s := &scriptedServer{address: l.Addr().String(), script: script}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

func (s *scriptedServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for kept := false; ; kept = true {
		var req fasthttp.Request
		if req.Read(br) != nil {
			return
		}
		id := string(req.Header.Peek(testHeaders.ID))
		s.mu.Lock()
		raw := s.script[min(len(s.got), len(s.script)-1)]
		s.got = append(s.got, id)
		s.mu.Unlock()
		if before, after, found := strings.Cut(raw, onlyKept); found && kept {
			raw = before + after
		} else if found {
			raw = after
		}
		raw, _, closes := strings.Cut(strings.ReplaceAll(raw, "{id}", id), hangUp)
		for i, part := range strings.Split(raw, pause) {
			if i > 0 {
				time.Sleep(10 * time.Millisecond)
			}
			_, _ = io.WriteString(c, part)
		}
		if closes {
			return
		}
	}
}

func (s *scriptedServer) requests() (ids []string, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(ids, s.got...), s.conns
}

// rawAnswer returns a response with the given header lines.
func rawAnswer(status int, body string, headers ...string) string {
	lines := append([]string{fmt.Sprintf("HTTP/1.1 %d %s", status, fasthttp.StatusMessage(status))}, headers...)
	return strings.Join(append(lines, fmt.Sprintf("Content-Length: %d", len(body))), "\r\n") + "\r\n\r\n" + body
}

const (
	withID   = "T-Id: {id}"
	firstID  = "T-Id: 1"
	notRun   = "T-Not-Run: 1"
	isSigned = "T-Signature: s"
)

// scriptedNode is a node whose upstream is a scriptedServer.
func scriptedNode(t *testing.T, m *mesh, name string, script ...string) (*node, *scriptedServer) {
	n := newNode(t, m, name, succeed)
	s := newScriptedServer(t, script...)
	n.upstream.address = s.address
	n.gate.Announce(n.announcement(name, 2, pb.UpstreamState_UPSTREAM_STATE_SERVING))
	return n, s
}

// handleAtGate sends a request that must not be repeated to a gate. It is sent again if the upstream
// did not accept the connection within the dial timeout, as on a busy machine.
func handleAtGate(g *Gate, id, body string) *fasthttp.Response {
	for end := time.Now().Add(testWait); ; {
		x := &meshhttp.Exchange{Received: time.Now()}
		x.Request.SetRequestURI("/write/1")
		x.Request.Header.SetMethod("POST")
		x.Request.Header.SetHost("h")
		x.Request.Header.Set(testHeaders.ID, id)
		x.Request.Header.Set(hopService, "a")
		x.Request.Header.Set(hopPriority, "0")
		x.Request.Header.Set(hopRemainingMs, "3000")
		x.Request.SetBodyString(body)
		g.Handle(context.Background(), x)
		if string(x.Response.Header.Peek(hopReason)) != reasonNoUpstream || time.Now().After(end) {
			return &x.Response
		}
	}
}

const testWait = 10 * time.Second

// Guards against a request that is reported as not run although the upstream ran it, which comes
// about by an upstream that writes a refusal of an earlier request again, or a refusal besides
// the response. A refusal that belongs to the request for certain is still reported as such.
func TestOnlyTheOwnRefusalMeansNotRun(t *testing.T) {
	refusal, refusalWithoutID := rawAnswer(503, "", notRun, withID), rawAnswer(503, "busy", notRun)
	misdirected, misdirectedWithoutID := rawAnswer(421, "", withID), rawAnswer(421, "")
	response := rawAnswer(200, "ok", isSigned, withID)
	copyOfFirst := rawAnswer(503, "", notRun, firstID)
	for name, c := range map[string]struct {
		script []string
		want   string // outcome of the request with id 2
	}{
		"own refusal":                                    {[]string{response, refusal}, ranNo},
		"own refusal on a new connection":                {[]string{response + hangUp, refusal}, ranNo},
		"own refusal in two parts":                       {[]string{response, strings.Replace(refusal, "T-Id", pause+"T-Id", 1)}, ranNo},
		"own refusal for another instance":               {[]string{response, misdirected}, ranNo},
		"own refusal after copies":                       {[]string{refusal, copyOfFirst + copyOfFirst + refusal}, ranNo},
		"refusal without id on a new connection":         {[]string{response + hangUp, refusalWithoutID}, ranNo},
		"copy with the earlier id":                       {[]string{refusal, copyOfFirst + response}, ranYes},
		"copies with the earlier id":                     {[]string{refusal, strings.Repeat(copyOfFirst+pause, 2) + response}, ranYes},
		"many copies with the earlier id":                {[]string{refusal, strings.Repeat(copyOfFirst, 5) + response}, ranUnknown},
		"copy without id":                                {[]string{refusal, refusalWithoutID + response}, ranYes},
		"copy without id in two parts":                   {[]string{refusal, strings.Replace(refusalWithoutID, "T-Not", pause+"T-Not", 1) + pause + response}, ranYes},
		"copy without id, first refusal without id":      {[]string{refusalWithoutID, refusalWithoutID + pause + onlyKept + response}, ranYes},
		"copy without id, first response without id":     {[]string{rawAnswer(200, "ok", isSigned), refusalWithoutID + pause + onlyKept + response}, ranYes},
		"copy for another instance":                      {[]string{response, misdirectedWithoutID + response}, ranYes},
		"copy after the refusal":                         {[]string{refusal + pause + copyOfFirst, response}, ranYes},
		"copy cut off":                                   {[]string{refusal, copyOfFirst[:len(copyOfFirst)-9] + response}, ranUnknown},
		"copy in the header of the response":             {[]string{refusal, "HTTP/1.1 200 OK\r\n" + withID + "\r\nDate: Mon" + copyOfFirst}, ranUnknown},
		"refusal and response":                           {[]string{response, refusal + response}, ranUnknown},
		"refusal without id and response":                {[]string{response + hangUp, refusalWithoutID + response}, ranUnknown},
		"refusal for another instance and response":      {[]string{response, misdirected + response}, ranUnknown},
		"success that states not run":                    {[]string{response, rawAnswer(200, "ok", isSigned, notRun, withID)}, ranUnknown},
		"success that states not run in a trailer":       {[]string{response, "HTTP/1.1 200 OK\r\n" + withID + "\r\n" + isSigned + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + notRun + "\r\n\r\n"}, ranUnknown},
		"status 503 without a statement":                 {[]string{response, rawAnswer(503, "", withID)}, ranUnknown},
		"signed status 503 without a statement":          {[]string{response, rawAnswer(503, "", isSigned, withID)}, ranUnknown},
		"signed status 429 without a statement":          {[]string{response, rawAnswer(429, "", isSigned, withID)}, ranUnknown},
		"signed status 408 without a statement":          {[]string{response, rawAnswer(408, "", isSigned, withID)}, ranUnknown},
		"connection closed without an answer":            {[]string{response, hangUp}, ranUnknown},
		"connection closed in the refusal":               {[]string{response, "HTTP/1.1 503 Service Unavailable\r\n" + notRun + "\r\n" + withID + "\r\nContent-Le" + hangUp}, ranUnknown},
		"connection closed in the body of the refusal":   {[]string{response, strings.Replace(refusal, "Content-Length: 0", "Content-Length: 9", 1) + "shor" + hangUp}, ranUnknown},
		"connection closed before the refusal's end":     {[]string{response, strings.TrimSuffix(refusal, "\r\n") + hangUp}, ranUnknown},
		"refusal without id, connection closed":          {[]string{response, refusalWithoutID + hangUp}, ranUnknown},
		"failure of the upstream":                        {[]string{response, rawAnswer(500, "", isSigned, withID)}, ranYes},
		"failure of the upstream without id, connection": {[]string{response + hangUp, rawAnswer(500, "", isSigned)}, ranYes},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n, s := scriptedNode(t, newMesh(), "i1", c.script...)
			handleAtGate(n.gate, "1", "")
			time.Sleep(20 * time.Millisecond) // a connection that the upstream closes is not used again
			r := handleAtGate(n.gate, "2", "")
			ids, _ := s.requests()
			is.Equal(ids, []string{"1", "2"}) // each was sent once
			is.Equal(string(r.Header.Peek(hopRan)), c.want)
			if c.want != ranYes {
				is.Equal(len(r.Header.Peek(testHeaders.Signature)), 0)
			}
		})
	}
}

// Guards against a refusal that is believed because its id is that of an earlier request on the
// connection too.
func TestRefusalOfARepeatedIDIsNotBelieved(t *testing.T) {
	is := is.New(t)
	n, _ := scriptedNode(t, newMesh(), "i1", rawAnswer(503, "", notRun, withID))
	is.Equal(string(handleAtGate(n.gate, "1", "").Header.Peek(hopRan)), ranNo)
	is.Equal(string(handleAtGate(n.gate, "1", "").Header.Peek(hopRan)), ranUnknown)
}

// Guards against a refusal that is not believed because it arrives while a long body is still
// being written.
func TestRefusalBeforeTheBodyIsWritten(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				var header fasthttp.RequestHeader
				if header.Read(br) == nil {
					_, _ = io.WriteString(c, rawAnswer(503, "", notRun, "T-Id: 1"))
					_, _ = io.Copy(io.Discard, br)
				}
			}()
		}
	}()
	n := newNode(t, newMesh(), "i1", succeed)
	n.upstream.address = l.Addr().String()
	n.gate.Announce(n.announcement("i1", 2, pb.UpstreamState_UPSTREAM_STATE_SERVING))
	is.Equal(string(handleAtGate(n.gate, "1", strings.Repeat("x", 4<<20)).Header.Peek(hopRan)), ranNo)
}

// Guards against a client that is told to send a request again, and against a second upstream
// that gets the request, after a refusal that may not belong to it.
func TestUncertainRefusalEndsARequestThatMustNotRepeat(t *testing.T) {
	is := is.New(t)
	refusal := rawAnswer(503, "", notRun, withID)
	response := rawAnswer(200, "ok", isSigned, withID)
	for _, script := range []string{refusal + response, rawAnswer(503, "", isSigned, withID), rawAnswer(421, "", withID) + response} {
		m := newMesh()
		_, s := scriptedNode(t, m, "i1", script)
		other := newNode(t, m, "i2", succeed)
		e := newTestEntry(m)
		for {
			before, _ := s.requests()
			x := send(e, "/write/1")
			after, _ := s.requests()
			if len(after) == len(before) {
				is.Equal(x.Response.StatusCode(), 200) // sent to the other upstream only
				continue
			}
			is.Equal(x.Response.StatusCode(), fasthttp.StatusBadGateway)
			is.Equal(len(x.Response.Header.Peek(fasthttp.HeaderRetryAfter)), 0)
			break
		}
		sent := other.upstream.count()
		x := send(e, "/read/1")
		for end := time.Now().Add(testWait); x.Response.StatusCode() != 200 && time.Now().Before(end); {
			x = send(e, "/read/1") // on a busy machine, a connection may not be accepted in time
		}
		is.Equal(x.Response.StatusCode(), 200) // may be repeated
		is.Equal(other.upstream.count(), sent+1)
	}
}

// scriptedGate is a gate that answers with scripted bytes.
func scriptedGate(t *testing.T, m *mesh, script ...string) *scriptedServer {
	s := newScriptedServer(t, script...)
	m.change(func(v *controlclient.View) {
		v.Endpoints["a"] = append(v.Endpoints["a"], &controlclient.Endpoint{Gate: s.address, Instance: "i1", Version: "v1", Slots: 2, Link: ports.LinkDomain})
	})
	return s
}

// Guards against an entry that takes a rejection of a gate for that of its request although it may
// belong to another one. The ClosingResponse, which has no id, is believed if nothing follows it.
func TestOnlyTheOwnRejectionOfAGateMeansNotRun(t *testing.T) {
	const ran, stopping = hopRan + ": ", hopReason + ": " + reasonStopping
	served := rawAnswer(200, "ok", ran+ranYes, isSigned, withID)
	for name, c := range map[string]struct {
		answer string
		status int
	}{
		"rejection":                               {rawAnswer(503, "", ran+ranNo, stopping, withID), 503},
		"rejection and closing response":          {rawAnswer(503, "", ran+ranNo, stopping, withID) + ClosingResponse + hangUp, 503},
		"closing response":                        {ClosingResponse + hangUp, 503},
		"closing response, closed a little later": {ClosingResponse + pause + hangUp, 503},
		"closing response in two parts":           {strings.Replace(ClosingResponse, "Connection", pause+"Connection", 1) + hangUp, 503},
		"closing response, connection open":       {ClosingResponse, 502},
		"closing response and response":           {ClosingResponse + served + hangUp, 502},
		"closing response, later the response":    {ClosingResponse + pause + served + hangUp, 502},
		"closing response cut off":                {strings.TrimSuffix(ClosingResponse, "\r\n") + hangUp, 502},
		"rejection without id":                    {rawAnswer(503, "", ran+ranNo, stopping) + pause + served, 502},
		"rejection and response":                  {rawAnswer(503, "", ran+ranNo, stopping, withID) + served, 502},
		"rejection with another id":               {rawAnswer(503, "", ran+ranNo, stopping, "T-Id: other") + served, 200},
		"response without a statement":            {rawAnswer(503, "", withID), 502},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMesh()
			s := scriptedGate(t, m, served, c.answer)
			e := newTestEntry(m)
			is.Equal(send(e, "/write/1").Response.StatusCode(), 200)
			x := send(e, "/write/2")
			is.Equal(x.Response.StatusCode(), c.status)
			ids, conns := s.requests()
			is.Equal(len(ids), 2)
			is.Equal(conns, 1)
		})
	}
}

// Checks that a response of a gate has the id of its request, also if that of the upstream has none.
func TestGateEchoesTheID(t *testing.T) {
	is := is.New(t)
	n, _ := scriptedNode(t, newMesh(), "i1", rawAnswer(200, "ok", isSigned))
	r := handleAtGate(n.gate, "1", "")
	is.Equal(string(r.Header.Peek(hopRan)), ranYes)
	is.Equal(string(r.Header.Peek(testHeaders.ID)), "1")
}

// Guards against a request that is rejected because the first gates it is sent to have lost their upstreams, while others
// have one.
func TestGatesWithoutUpstreamArePassedOver(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	for i := range 5 {
		g := NewGate(GateOptions{Headers: testHeaders, DrainBound: testDrain, LostAfter: testLost, Publish: func(*pb.Announcement) {}}, m, newTestPool(), NewMetrics(metrics.NewSet()), log.NewNopLogger())
		l := listen(t)
		serveOn(l, g.Handle)
		m.change(func(v *controlclient.View) {
			v.Endpoints["a"] = append(v.Endpoints["a"], &controlclient.Endpoint{Gate: l.Addr().String(), Instance: fmt.Sprint("gone-", i), Version: "v1", Slots: 2, Link: ports.LinkDomain})
		})
	}
	n := newNode(t, m, "i1", succeed)
	for range 20 {
		e := newTestEntry(m) // has no experience with the gates
		is.Equal(send(e, "/write/1").Response.StatusCode(), fasthttp.StatusOK)
	}
	is.Equal(n.upstream.count(), 20)
}
