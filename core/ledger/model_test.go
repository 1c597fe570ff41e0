package ledger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// model simulates gates and members over a network that delays, reorders,
// duplicates and loses messages, while members and gates restart and the ledger
// group changes. It checks that no key runs twice within the retention.
type model struct {
	t        *rapid.T
	now      time.Time
	members  map[string]*modelMember
	old      []string
	new      []string
	changed  time.Time // zero before the change of the group
	gates    [3]*modelGate
	network  []modelMessage
	runs     map[string]modelRun
	runCount int
}

type modelMember struct {
	*Member
	incarnation int
	pulled      map[string]bool
}

type modelGate struct {
	incarnation int64
	attempts    uint64
	hasNewGroup bool // knows the configuration with the new group
	pending     map[uint64]*modelAttempt
}

type modelAttempt struct {
	*Attempt
	claim *pb.Claim
}

type modelRun struct {
	attemptStart time.Time
	claim        *pb.Claim
}

type modelMessage struct {
	deliver func()
	kind    string
}

var modelMembers = []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7"}

var modelKeys = []string{"k1", "k2"}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: time.Unix(1_000_000, 0), members: make(map[string]*modelMember), runs: make(map[string]modelRun),
	}
	// Groups of 3, 4 and 5 members; the old and the new group have members in common.
	size := rapid.IntRange(3, 5).Draw(t, "group size")
	m.old, m.new = modelMembers[:size], modelMembers[2:2+size]
	for _, id := range modelMembers {
		if m.members[id] == nil {
			m.members[id] = &modelMember{Member: NewMember(m.now, Retention)}
			m.members[id].MarkRecovered() // no earlier claim exists
		}
	}
	for i := range m.gates {
		m.gates[i] = &modelGate{pending: make(map[uint64]*modelAttempt)}
	}
	return m
}

func (m *model) service(hasNewGroup bool) *pb.Service {
	if m.changed.IsZero() || !hasNewGroup {
		return &pb.Service{LedgerMembers: m.old}
	}
	return &pb.Service{LedgerMembers: m.new, PreviousLedgerMembers: m.old, LedgerChangedUnixMs: m.changed.UnixMilli()}
}

func (m *model) send(kind string, f func()) {
	m.network = append(m.network, modelMessage{deliver: f, kind: kind})
}

// start lets a gate claim a key. The gate learns of a group change within the
// time by which GroupWindow exceeds the retention.
func (m *model) start() {
	i := rapid.IntRange(0, len(m.gates)-1).Draw(m.t, "gate")
	g := m.gates[i]
	if !m.changed.IsZero() && (m.now.Sub(m.changed) > 50*time.Second || rapid.Bool().Draw(m.t, "learn")) {
		g.hasNewGroup = true
	}
	g.attempts++
	c := &pb.Claim{
		Key: rapid.SampledFrom(modelKeys).Draw(m.t, "key"), Owner: fmt.Sprint("g", i), OwnerIncarnation: g.incarnation,
		Attempt: g.attempts, State: pb.ClaimState_CLAIM_STATE_CLAIMED,
	}
	a := &modelAttempt{Attempt: NewAttempt(m.now, c, Groups(m.service(g.hasNewGroup), m.now)), claim: c}
	g.pending[g.attempts] = a
	for _, id := range Union(a.groups) {
		m.send("claim", func() {
			outcome, current := m.members[id].Claim(m.now, proto.CloneOf(c))
			m.send("vote", func() { m.vote(g, a, id, outcome, current) })
		})
	}
}

func (m *model) vote(g *modelGate, a *modelAttempt, member string, o pb.ClaimOutcome, current *pb.Claim) {
	if g.pending[a.claim.GetAttempt()] != a || g.incarnation != a.claim.GetOwnerIncarnation() {
		return // the gate has decided or restarted
	}
	d := a.Vote(m.now, member, o, current)
	if d == Waiting {
		return
	}
	delete(g.pending, a.claim.GetAttempt())
	if d == Granted {
		m.run(a)
		return
	}
	m.sendEnd(a, pb.ClaimState_CLAIM_STATE_RELEASED)
}

func (m *model) run(a *modelAttempt) {
	key := a.claim.GetKey()
	if before, ok := m.runs[key]; ok && m.now.Before(before.attemptStart.Add(Retention)) {
		m.t.Fatalf("%s ran for %v at %v, then for %v at %v", key, before.claim, before.attemptStart, a.claim, m.now)
	}
	switch rapid.SampledFrom([]string{"answered", "lost", "not run"}).Draw(m.t, "end") {
	case "answered":
		m.runs[key] = modelRun{a.started, a.claim}
		m.sendEnd(a, pb.ClaimState_CLAIM_STATE_ANSWERED)
	case "lost":
		m.runs[key] = modelRun{a.started, a.claim}
	case "not run":
		m.sendEnd(a, pb.ClaimState_CLAIM_STATE_RELEASED)
	}
	m.runCount++
}

func (m *model) sendEnd(a *modelAttempt, state pb.ClaimState) {
	c := proto.CloneOf(a.claim)
	c.State = state
	for _, id := range Union(a.groups) {
		m.send("end", func() { m.members[id].Complete(m.now, proto.CloneOf(c)) })
	}
}

func (m *model) takeMessage() (modelMessage, bool) {
	if len(m.network) == 0 {
		return modelMessage{}, false
	}
	i := rapid.IntRange(0, len(m.network)-1).Draw(m.t, "message")
	msg := m.network[i]
	m.network = append(m.network[:i], m.network[i+1:]...)
	return msg, true
}

// deliverPending delivers or loses the pending messages and the messages that result from them.
func (m *model) deliverPending() {
	for range 40 {
		msg, ok := m.takeMessage()
		if !ok {
			return
		}
		if rapid.IntRange(0, 7).Draw(m.t, "loss") != 0 {
			msg.deliver()
		}
	}
}

func (m *model) restart() {
	id := rapid.SampledFrom(modelMembers).Draw(m.t, "member")
	if rapid.Bool().Draw(m.t, "spare") {
		return
	}
	m.members[id] = &modelMember{Member: NewMember(m.now, Retention), incarnation: m.members[id].incarnation + 1}
}

// recover pulls the claims of one other member, as app/ledger does.
func (m *model) recover() {
	id := rapid.SampledFrom(modelMembers).Draw(m.t, "member")
	r := m.members[id]
	if r.Ready(m.now) || !r.MayRecover(m.now) {
		return
	}
	others := m.others(id)
	if len(others) == 0 {
		return
	}
	from := rapid.SampledFrom(others).Draw(m.t, "from")
	if !m.members[from].Ready(m.now) {
		return
	}
	claims, _ := m.members[from].Page(m.now, "")
	m.send("page", func() {
		if m.members[id] != r {
			return
		}
		r.Merge(m.now, claims)
		if r.pulled == nil {
			r.pulled = make(map[string]bool)
		}
		r.pulled[from] = true
		if RecoveryComplete(Groups(m.service(true), m.now), id, r.pulled) {
			r.MarkRecovered()
		}
	})
}

// others returns the members that a recovering member pulls from. A member that
// is in no group yet does not recover.
func (m *model) others(id string) []string {
	all := Union(Groups(m.service(true), m.now))
	if !slices.Contains(all, id) {
		return nil
	}
	return slices.DeleteFunc(all, func(o string) bool { return o == id })
}

// Guards against a key that runs twice when messages are lost, late or duplicated
// and members or gates restart. The test fails when any of these is removed from
// the protocol: the recovery delay, the claim window, the recovery, one of the
// members that a recovery needs, the majority of the previous group, the
// rejection of claims after a merge of conflicting ones.
func TestKeyRunsAtMostOnce(t *testing.T) {
	runCount := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		step := func(d time.Duration) func(*rapid.T) {
			return func(t *rapid.T) {
				if rapid.IntRange(0, 2).Draw(t, "pass") == 0 {
					m.now = m.now.Add(d)
				}
			}
		}
		deliver := func(*rapid.T) {
			if msg, ok := m.takeMessage(); ok {
				msg.deliver()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"start":   func(*rapid.T) { m.start() },
			"deliver": deliver,
			"deliver some": func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "some") {
					deliver(t)
				}
			},
			"double": func(*rapid.T) {
				if msg, ok := m.takeMessage(); ok {
					m.network = append(m.network, msg)
					msg.deliver()
				}
			},
			"lose": func(*rapid.T) { m.takeMessage() },
			// Complete attempts with losses are frequent enough for keys to run, members
			// to lose them in restarts and other gates to claim them again.
			"attempt": func(*rapid.T) { m.start(); m.deliverPending() },
			"restart and recover": func(*rapid.T) {
				m.restart()
				m.now = m.now.Add(RecoveryDelay)
				for range rapid.IntRange(1, 6).Draw(m.t, "pulls") {
					m.recover()
					m.deliverPending()
				}
			},
			"restart": func(*rapid.T) { m.restart() },
			"recover": func(*rapid.T) { m.recover() }, "recover again": func(*rapid.T) { m.recover() },
			"gate restart": func(*rapid.T) {
				g := m.gates[rapid.IntRange(0, len(m.gates)-1).Draw(m.t, "gate")]
				g.incarnation++
				g.attempts = 0
				g.pending = make(map[uint64]*modelAttempt)
			},
			"change group": func(*rapid.T) {
				if m.changed.IsZero() && rapid.IntRange(0, 3).Draw(m.t, "change") == 0 {
					m.changed = m.now
				}
			},
			"0.4 s": step(400 * time.Millisecond), "2 s": step(2 * time.Second),
			"5 min": func(*rapid.T) {
				if rapid.IntRange(0, 9).Draw(m.t, "long") == 0 {
					m.now = m.now.Add(5 * time.Minute)
				}
			},
		})
		runCount += m.runCount
	})
	if runCount == 0 {
		t.Fatal("no key ran: the model tests nothing")
	}
	t.Log("runs:", runCount)
}
