package config

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

func drawService(t *rapid.T, names []string) *pb.Service {
	s := &pb.Service{
		Name: rapid.SampledFrom(names).Draw(t, "service"), ActiveVersion: "1",
		Limits: &pb.Limits{Slots: 9, TimeoutMs: rapid.Uint32Range(0, 3).Draw(t, "timeout")},
	}
	s.Uses = rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 3, rapid.ID[string]).Draw(t, "uses")
	return s
}

var serviceNames = []string{"a", "b", "c", "d", "e", "f"}

func drawChange(t *rapid.T) *pb.Change {
	route := func() string { return fmt.Sprintf("r%d", rapid.IntRange(0, 8).Draw(t, "route")) }
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return &pb.Change{Change: &pb.Change_PutService{PutService: drawService(t, serviceNames)}}
	case 1:
		return &pb.Change{Change: &pb.Change_DeleteService{DeleteService: rapid.SampledFrom(serviceNames).Draw(t, "service")}}
	case 2:
		name := route()
		return &pb.Change{Change: &pb.Change_PutRoute{PutRoute: &pb.Route{
			Name: name, PathPrefix: "/" + name, Service: rapid.SampledFrom(serviceNames).Draw(t, "service"),
		}}}
	default:
		return &pb.Change{Change: &pb.Change_DeleteRoute{DeleteRoute: route()}}
	}
}

// drawHistory returns valid configurations in ascending order of revisions. Like
// the state machine, it rejects changes that result in an invalid configuration.
func drawHistory(t *rapid.T) []*pb.Configuration {
	c := &pb.Configuration{Revision: 1}
	for _, n := range serviceNames {
		c.Services = append(c.Services, &pb.Service{Name: n, ActiveVersion: "1", Limits: &pb.Limits{Slots: 1}})
	}
	c.Shares = []*pb.ServiceShares{{Service: "a", MoveId: "m", Phase: pb.MovePhase_MOVE_PHASE_DONE}}
	out := []*pb.Configuration{c}
	for range rapid.IntRange(1, 12).Draw(t, "changes") {
		var changes []*pb.Change
		for range rapid.IntRange(1, 3).Draw(t, "changes of one revision") {
			changes = append(changes, drawChange(t))
		}
		if next := Apply(c, changes, c.GetRevision()+1); len(Validate(next)) == 0 {
			c = next
			out = append(out, c)
		}
	}
	return out
}

func drawInterests(t *rapid.T) *pb.Interests {
	return &pb.Interests{Services: rapid.SliceOfNDistinct(rapid.SampledFrom(serviceNames), 1, 3, rapid.ID[string]).Draw(t, "interests")}
}

// Guards against a projection with a dangling reference, and against a delta
// between two revisions that does not result in the projection of the later one.
func TestDeltaGivesProjectionOfLaterRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		interests := drawInterests(t)
		from := Project(rapid.SampledFrom(history).Draw(t, "from"), interests)
		to := Project(history[len(history)-1], interests)
		have, problems := NewProjection(from)
		if len(problems) > 0 {
			t.Fatalf("projection is not valid: %v", problems)
		}
		payload, compressed, err := Encode(Diff(from, to), rapid.Bool().Draw(t, "compress"))
		if err != nil {
			t.Fatal(err)
		}
		before := proto.Clone(from)
		got, err := Receive(have, &pb.SyncResponse{
			Kind: pb.SyncKind_SYNC_KIND_DELTA, Revision: to.GetRevision(), Hash: Hash(to), Payload: payload, Compressed: compressed,
		})
		if err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(got.Configuration, to) || !proto.Equal(before, from) {
			t.Fatal("the delta resulted in a different configuration or modified its base")
		}
	})
}

// Guards against applying a damaged, truncated, mismatched or older response,
// also partially.
func TestDamagedResponseIsNeverApplied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		interests := drawInterests(t)
		base := Project(rapid.SampledFrom(history).Draw(t, "base"), interests)
		from := Project(rapid.SampledFrom(history).Draw(t, "from"), interests)
		to := Project(rapid.SampledFrom(history).Draw(t, "to"), interests)
		have, _ := NewProjection(base)
		r := &pb.SyncResponse{Kind: pb.SyncKind_SYNC_KIND_SNAPSHOT, Revision: to.GetRevision(), Hash: Hash(to)}
		var m proto.Message = to
		if rapid.Bool().Draw(t, "delta") {
			r.Kind, m = pb.SyncKind_SYNC_KIND_DELTA, Diff(from, to)
		}
		r.Payload, r.Compressed, _ = Encode(m, rapid.Bool().Draw(t, "compress"))
		switch rapid.IntRange(0, 4).Draw(t, "damage") {
		case 0:
			r.Payload = r.Payload[:rapid.IntRange(0, len(r.Payload)).Draw(t, "length")]
		case 1:
			if len(r.Payload) > 0 {
				r.Payload = slices.Clone(r.Payload)
				r.Payload[rapid.IntRange(0, len(r.Payload)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
			}
		case 2:
			r.Compressed = !r.Compressed
		case 3:
			r.Revision += uint64(rapid.IntRange(0, 1).Draw(t, "revision"))
		}
		got, err := Receive(have, r)
		if err != nil {
			if got != nil {
				t.Fatal("Receive returned both an error and a projection")
			}
			return
		}
		if got.Revision() < have.Revision() || got.Revision() != to.GetRevision() || Hash(got.Configuration) != Hash(to) {
			t.Fatalf("applied revision %d with hash %x, stated %d with %x", got.Revision(), got.Hash, to.GetRevision(), Hash(to))
		}
		if problems := Validate(got.Configuration); len(problems) > 0 {
			t.Fatalf("applied an invalid configuration: %v", problems)
		}
	})
}

// Guards against a peer whose response for covered interests differs from the relay's.
func TestPeerResponseEqualsRelayResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawHistory(t)
		accepted := c[len(c)-1]
		own, want := drawInterests(t), drawInterests(t)
		p, _ := NewProjection(Project(accepted, own))
		r, err := AnswerPeer(p, own, want)
		if err != nil {
			t.Fatal(err)
		}
		if covered := Covers(own, want); covered != (r != nil) {
			t.Fatalf("covered %v, answered %v", covered, r != nil)
		}
		if r != nil && r.GetHash() != Hash(Project(accepted, want)) {
			t.Fatal("the projection of the peer differs from that of the relay")
		}
	})
}

// Guards against accepting an invalid configuration, with one case for each kind
// of problem, and against rejecting a valid one.
func TestValidateNamesEachProblem(t *testing.T) {
	valid := func() *pb.Configuration {
		return &pb.Configuration{
			Services: []*pb.Service{{Name: "a", ActiveVersion: "1", Uses: []string{"b"}, Limits: &pb.Limits{Slots: 1}}, {Name: "b", ActiveVersion: "1", Limits: &pb.Limits{Slots: 1}}},
			Routes:   []*pb.Route{{Name: "r", PathPrefix: "/", Service: "a", Methods: []string{"GET"}}},
			Shares:   []*pb.ServiceShares{{Service: "a", Domains: []*pb.DomainShare{{FailureDomain: "x", NewPermille: 1000}}}},
		}
	}
	is := is.New(t)
	is.Equal(len(Validate(valid())), 0)
	for subject, damage := range map[string]func(*pb.Configuration){
		"service/a":   func(c *pb.Configuration) { c.Services[0].Uses = []string{"x"} },
		"service/a#2": func(c *pb.Configuration) { c.Services[0].Uses = []string{"b", "b"} },
		"service/b":   func(c *pb.Configuration) { c.Services[1].ActiveVersion = "" },
		"service/a#3": func(c *pb.Configuration) { c.Services[0].Limits = nil },
		"service/a#4": func(c *pb.Configuration) { c.Services[0].LedgerMembers = []string{"x", "x", "y"} },
		"service/a#5": func(c *pb.Configuration) { c.Services[0].PreviousLedgerMembers = []string{"x"} },
		"route/r":     func(c *pb.Configuration) { c.Routes[0].Service = "x" },
		"route/r#2":   func(c *pb.Configuration) { c.Routes[0].PathPrefix = "x" },
		"route/r#3":   func(c *pb.Configuration) { c.Routes[0].Methods = []string{"BREW"} },
		"route/r#4":   func(c *pb.Configuration) { c.Routes = append(c.Routes, c.Routes[0]) },
		"shares/a":    func(c *pb.Configuration) { c.Shares[0].Domains[0].NewPermille = 1001 },
		"shares/a#2":  func(c *pb.Configuration) { c.Shares = append(c.Shares, c.Shares[0]) },
		"shares/x":    func(c *pb.Configuration) { c.Shares[0].Service = "x" },
	} {
		c := valid()
		damage(c)
		problems := Validate(c)
		want, _, _ := cutNumber(subject)
		is.Equal(len(problems), 1) // each case has exactly one problem
		is.Equal(problems[0].GetSubject(), want)
		p, err := NewProjection(c)
		is.True(p == nil && len(err) > 0) // no projection of an invalid configuration
	}
}

// cutNumber removes the suffix that makes the cases of one subject distinct keys of a map.
func cutNumber(s string) (string, string, bool) {
	for i := range s {
		if s[i] == '#' {
			return s[:i], s[i+1:], true
		}
	}
	return s, "", false
}

// Guards against rejecting the deletion of a service whose move has ended, and
// against deleting a service during a move.
func TestDeleteServiceDropsEndedShares(t *testing.T) {
	is := is.New(t)
	for phase, ended := range map[pb.MovePhase]bool{
		pb.MovePhase_MOVE_PHASE_DONE: true, pb.MovePhase_MOVE_PHASE_ROLLED_BACK: true, pb.MovePhase_MOVE_PHASE_STOPPED: true,
		pb.MovePhase_MOVE_PHASE_RUNNING: false, pb.MovePhase_MOVE_PHASE_WATCHING: false, pb.MovePhase_MOVE_PHASE_HELD: false,
	} {
		c := &pb.Configuration{
			Services: []*pb.Service{{Name: "a", ActiveVersion: "1", Limits: &pb.Limits{Slots: 1}}},
			Shares:   []*pb.ServiceShares{{Service: "a", Phase: phase}},
		}
		next := Apply(c, []*pb.Change{{Change: &pb.Change_DeleteService{DeleteService: "a"}}}, 2)
		is.Equal(len(Validate(next)) == 0, ended)
		is.Equal(len(c.GetShares()), 1) // the base is not modified
	}
}

// Guards against accepting a snapshot with unsorted names, which would break the
// binary search that deltas rely on.
func TestUnsortedSnapshotIsRejected(t *testing.T) {
	is := is.New(t)
	c := &pb.Configuration{Revision: 1, Services: []*pb.Service{
		{Name: "b", ActiveVersion: "1", Limits: &pb.Limits{Slots: 1}}, {Name: "a", ActiveVersion: "1", Limits: &pb.Limits{Slots: 1}},
	}}
	payload, _, _ := Encode(c, false)
	_, err := Receive(nil, &pb.SyncResponse{Kind: pb.SyncKind_SYNC_KIND_SNAPSHOT, Revision: 1, Hash: Hash(c), Payload: payload})
	is.True(errors.Is(err, ErrInvalid))
}
