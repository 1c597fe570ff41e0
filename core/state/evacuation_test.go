package state

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

var site = []string{"d1", "d2", "d3"}

func evacuationCommand(id, domain string, active bool, base uint64) *pb.Command {
	return &pb.Command{CommandId: id, Command: &pb.Command_ChangeEvacuation{ChangeEvacuation: &pb.ChangeEvacuation{
		FailureDomain: domain, Active: active, BaseSerial: &base, FailureDomains: site,
	}}}
}

// Guards against an order that is carried out after a newer one about its failure domain, an order sent again that is
// rejected or changes something, a site without a failure domain, and a snapshot that loses an order. Orders are given to
// hosts that may lag, arrive later, and may be sent again meanwhile.
func TestEvacuationOrdersInAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(nil)
		type order struct {
			domain string
			active bool
			base   uint64 // serial of the newest order about the domain that the host knew
			given  int
		}
		var pending []order
		serials, newest := make(map[string][]uint64), make(map[string]int) // newest: when the newest accepted order was given
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(pending) == 0 || rapid.Bool().Draw(t, "give") {
				domain := rapid.SampledFrom(site).Draw(t, "domain")
				known := append([]uint64{0}, serials[domain]...)
				lag := min(rapid.IntRange(0, 2).Draw(t, "lag"), len(known)-1)
				pending = append(pending, order{domain, rapid.Bool().Draw(t, "active"), known[len(known)-1-lag], i})
				continue
			}
			o := rapid.SampledFrom(pending).Draw(t, "order")
			before, changes := m.plans.evacuations[o.domain], m.plans.changes
			r := m.applyCommand(evacuationCommand(fmt.Sprint(i), o.domain, o.active, o.base))
			after := m.plans.evacuations[o.domain]
			if after.GetActive() != before.GetActive() && o.given < newest[o.domain] {
				t.Fatalf("%+v undid an order that was given at %d", o, newest[o.domain])
			}
			if r.GetOutcome() == pb.Outcome_OUTCOME_ACCEPTED {
				serials[o.domain], newest[o.domain] = append(serials[o.domain], after.GetSerial()), max(newest[o.domain], o.given)
			}
			switch {
			case o.active == before.GetActive():
				if r.GetOutcome() != pb.Outcome_OUTCOME_ACCEPTED || m.plans.changes != changes {
					t.Fatalf("%+v was sent again: %v", o, r)
				}
			case r.GetOutcome() == pb.Outcome_OUTCOME_ACCEPTED:
				if o.base != before.GetSerial() || after.GetActive() != o.active || after.GetSerial() <= before.GetSerial() || m.plans.changes != changes+1 {
					t.Fatalf("%+v was carried out on %v, result %v", o, before, after)
				}
			case o.base == before.GetSerial() && !(o.active && r.GetOutcome() == pb.Outcome_OUTCOME_INVALID):
				t.Fatalf("%+v on %v: %v", o, before, r)
			}
			left := len(site)
			for _, e := range m.plans.evacuations {
				if e.GetActive() {
					left--
				}
			}
			if left == 0 {
				t.Fatal("no failure domain is left")
			}
		}
		b, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		restored, err := Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		if restored.plans.evacuationSerial != m.plans.evacuationSerial || len(restored.plans.evacuations) != len(m.plans.evacuations) {
			t.Fatal("the snapshot has other orders")
		}
		for domain, e := range m.plans.evacuations {
			if !proto.Equal(restored.plans.evacuations[domain], e) {
				t.Fatalf("the snapshot has %v instead of %v", restored.plans.evacuations[domain], e)
			}
		}
	})
}

// Guards against orders that are accepted although they name no failure domain or leave none, and against memory that grows
// with the names in orders.
func TestInvalidEvacuations(t *testing.T) {
	is := is.New(t)
	m := New(nil)
	outcome := func(id, domain string, active bool) pb.Outcome {
		return m.applyCommand(evacuationCommand(id, domain, active, m.plans.evacuations[domain].GetSerial())).GetOutcome()
	}
	is.Equal(outcome("1", "", true), pb.Outcome_OUTCOME_INVALID)
	is.Equal(outcome("2", "d1", false), pb.Outcome_OUTCOME_ACCEPTED) // not evacuated
	is.Equal(m.plans.changes, uint64(0))
	is.Equal(outcome("3", "d1", true), pb.Outcome_OUTCOME_ACCEPTED)
	is.Equal(outcome("4", "d2", true), pb.Outcome_OUTCOME_ACCEPTED)
	is.Equal(outcome("5", "d3", true), pb.Outcome_OUTCOME_INVALID)
	is.Equal(outcome("6", "d1", true), pb.Outcome_OUTCOME_ACCEPTED) // sent again
	is.Equal(outcome("7", "d1", false), pb.Outcome_OUTCOME_ACCEPTED)
	is.Equal(outcome("8", "d3", true), pb.Outcome_OUTCOME_ACCEPTED)
	for i := range 2 * maxEvacuations {
		outcome(fmt.Sprint("x", i), fmt.Sprint("x", i), true)
	}
	is.Equal(len(m.plans.evacuations), maxEvacuations)
}

// Guards against an operator who does not learn that an order changed nothing, and against a time that does not belong to the
// order in force: the history also has orders about other failure domains, and orders sent again are not in it.
func TestEvacuationResultAndTime(t *testing.T) {
	is := is.New(t)
	m := New(nil)
	clock := int64(1000)
	order := func(domain string, active bool) *pb.CommandResult {
		clock++
		c := evacuationCommand(fmt.Sprint(clock), domain, active, m.plans.evacuations[domain].GetSerial())
		c.SubmittedUnixMs = clock
		return m.applyCommand(c)
	}
	since := func(domain string) int64 { return EvacuationSince(m.history, m.plans.evacuations[domain]) }
	is.Equal(order("d1", false).GetMessage(), "d1 is not evacuated; nothing was changed")
	is.Equal(since("d1"), int64(0))
	r := order("d1", true)
	is.Equal(r.GetEvacuationSerial(), uint64(2))
	is.Equal(r.GetMessage(), "")
	is.Equal(since("d1"), int64(1002))
	order("d2", true)
	again := order("d1", true)
	is.Equal(again.GetMessage(), "d1 is already evacuated")
	is.Equal(again.GetEvacuationSerial(), uint64(4))
	is.Equal(since("d1"), int64(1002))
	order("d1", false)
	is.Equal(since("d1"), int64(1005))
	is.Equal(since("d2"), int64(1003))
	m.history = m.history[2:] // the order about d2 was dropped
	is.Equal(since("d2"), int64(0))
}
