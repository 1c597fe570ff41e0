package members

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rattanfield/rattanfield/core/membership"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// simulation connects processes by messages that the test delivers, repeats,
// delays or drops. It uses no connections; its clock advances by a second with each
// start of a process.
type simulation struct {
	t         *rapid.T
	processes []*Members
	starts    int64
	requests  []message
	responses []message
}

type message struct {
	from, to int
	instance int64 // table instance of the sender; a response to a process that restarted is lost
	request  *pb.ExchangeRequest
	response *pb.ExchangeResponse
	sent     sentStamps
	filterID uint64
}

const (
	simulatedRelays = 2 // one per failure domain
	simulatedNodes  = 4 // two per failure domain
)

// start returns a new process in place of process i.
func (s *simulation) start(i int) *Members {
	s.starts++
	domain := fmt.Sprintf("domain-%d", i%2)
	o := Options{
		ID: fmt.Sprintf("p%d", i), FailureDomain: domain, Region: domain, Incarnation: s.starts,
		Relay: i < simulatedRelays, Relays: []membership.Relay{{ID: "p0"}, {ID: "p1"}}, Now: func() time.Time { return time.Unix(s.starts, 0) },
	}
	if !o.Relay {
		o.Services = []string{"a"}
	}
	m := New(o, nil, nil)
	if !o.Relay {
		m.Publish(pb.EndpointState_ENDPOINT_STATE_SERVING, ports.UpstreamAnnouncement{Service: "a", Version: "1"})
	}
	return m
}

// exchangesWith reports whether process from sends requests to process to: nodes send
// them to both relays and to the nodes of their failure domain, relays to each other.
func exchangesWith(from, to int) bool {
	if from == to {
		return false
	}
	return to < simulatedRelays || (from >= simulatedRelays && from%2 == to%2)
}

func (s *simulation) target(to int) target {
	return target{key: fmt.Sprintf("p%d", to), relay: to < simulatedRelays}
}

func (s *simulation) send(from, to int, wait time.Duration) message {
	m := message{from: from, to: to, instance: s.processes[from].table.Instance()}
	m.request, m.sent, m.filterID = s.processes[from].request(s.target(to), wait)
	m.request = proto.Clone(m.request).(*pb.ExchangeRequest)
	return m
}

func (s *simulation) serve(m message) message {
	p := s.processes[m.to]
	p.handleRequest(m.request)
	m.response, _ = p.response(m.request)
	return m
}

func (s *simulation) deliverResponse(m message) {
	p := s.processes[m.from]
	if p.table.Instance() == m.instance {
		p.handleResponse(s.target(m.to), m.request, m.response, m.sent, m.filterID)
	}
}

func (s *simulation) step() {
	t := s.t
	randomProcess := func(name string) int { return rapid.IntRange(0, len(s.processes)-1).Draw(t, name) }
	switch rapid.IntRange(0, 7).Draw(t, "step") {
	case 0, 1: // a request starts
		from, to := randomProcess("from"), randomProcess("to")
		if exchangesWith(from, to) {
			wait := rapid.SampledFrom([]time.Duration{0, pushOnly}).Draw(t, "wait")
			s.requests = append(s.requests, s.send(from, to, wait))
		}
	case 2, 3: // any request in flight arrives, and may arrive again later
		if len(s.requests) > 0 {
			i := rapid.IntRange(0, len(s.requests)-1).Draw(t, "request")
			s.responses = append(s.responses, s.serve(s.requests[i]))
			if !rapid.Bool().Draw(t, "keep") {
				s.requests = append(s.requests[:i], s.requests[i+1:]...)
			}
		}
	case 4, 5: // a response arrives, or is dropped
		if len(s.responses) > 0 {
			i := rapid.IntRange(0, len(s.responses)-1).Draw(t, "response")
			if rapid.IntRange(0, 3).Draw(t, "fate") > 0 {
				s.deliverResponse(s.responses[i])
			}
			if !rapid.Bool().Draw(t, "keep") {
				s.responses = append(s.responses[:i], s.responses[i+1:]...)
			}
		}
	case 6: // a node changes its record or its interests, is declared down by another process, or loses its relay
		p := s.processes[randomProcess("process")]
		switch rapid.IntRange(0, 3).Draw(t, "change") {
		case 0:
			if !p.options.Relay {
				p.Publish(rapid.SampledFrom([]pb.EndpointState{
					pb.EndpointState_ENDPOINT_STATE_SERVING, pb.EndpointState_ENDPOINT_STATE_LEAVING,
				}).Draw(t, "state"), ports.UpstreamAnnouncement{Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), Version: "1"})
			}
		case 1:
			if !p.options.Relay {
				p.SetServices([]string{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "interest")})
			}
		case 2:
			if r := p.table.Get(fmt.Sprintf("p%d", randomProcess("target"))); r != nil {
				p.table.DeclareDown(r.GetNodeId(), r.GetIncarnation(), r.GetSequence(), time.Time{})
			}
		case 3:
			p.setRelayReachable(rapid.Bool().Draw(t, "relay"))
		}
	case 7:
		i := randomProcess("restarted")
		s.processes[i] = s.start(i)
	}
}

// exchangeAll runs four complete rounds of exchanges.
func (s *simulation) exchangeAll() {
	for range 4 {
		for from := range s.processes {
			for to := range s.processes {
				if exchangesWith(from, to) {
					s.deliverResponse(s.serve(s.send(from, to, 0)))
				}
			}
		}
	}
}

// checkTables fails the test unless every process holds the owner's current record of
// each node that its filter selects, and no owner remains declared down.
func (s *simulation) checkTables() {
	for _, p := range s.processes {
		filter := p.ownFilter(true)
		for _, owner := range s.processes[simulatedRelays:] {
			want := owner.table.Get(owner.options.ID)
			got := p.table.Get(owner.options.ID)
			needed := filter.All || want.GetFailureDomain() == filter.FailureDomain || filter.Services[0] == want.GetService()
			if needed && !proto.Equal(got, want) {
				s.t.Fatalf("%s holds %v, the owner has %v", p.options.ID, got, want)
			}
			if !needed && got != nil && got.GetService() == filter.Services[0] && got.GetState() == pb.EndpointState_ENDPOINT_STATE_SERVING {
				s.t.Fatalf("%s still reads %v, the owner has %v", p.options.ID, got, want)
			}
			if want.GetState() == pb.EndpointState_ENDPOINT_STATE_DOWN {
				s.t.Fatalf("%s was not refuted", want)
			}
		}
		records, _ := p.Endpoints("a")
		for _, r := range records {
			if !proto.Equal(r, p.table.Get(r.GetNodeId())) {
				s.t.Fatalf("the list of %s holds an older record %v", p.options.ID, r)
			}
		}
		p.Endpoints("b") // cache this list, so that a later check detects an outdated one
	}
}

// TestTablesConverge checks that four complete rounds of exchanges bring every
// table to the owners' current records after any sequence of dropped, repeated,
// delayed, reordered and one-way exchanges, changes and restarts.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t}
		for i := range simulatedRelays + simulatedNodes {
			s.processes = append(s.processes, s.start(i))
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			s.step()
		}
		s.exchangeAll()
		s.checkTables()
	})
}
