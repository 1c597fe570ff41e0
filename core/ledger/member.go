package ledger

import (
	"maps"
	"slices"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	// Retention is how long a claim and its response are kept.
	Retention = 10 * time.Minute
	// ClaimWindow bounds an Attempt from its start to its last counted grant.
	ClaimWindow = time.Second
	// RecoveryDelay is more than ClaimWindow, so that clocks may run at different speed.
	RecoveryDelay = 2 * ClaimWindow
	// GroupWindow is how long claims need a majority of the old group as well. It exceeds the
	// retention by the time that a gate may take to learn of the change.
	GroupWindow = Retention + time.Minute

	maxClaims      = 1 << 16
	maxAnswerBytes = 32 << 20 // of all stored responses of a member
	maxReleased    = 8        // per key
	pageSize       = 256
)

// Member is the memory of one member of a ledger group. It is not safe for concurrent use.
type Member struct {
	started     time.Time
	retention   time.Duration
	recovered   bool
	entries     map[key]*entry
	answerBytes int
	swept       time.Time
}

type key struct{ tenant, key string }

// entry holds what is known of one key. More than one claim is known only
// after a merge, when gates split the votes of the group.
type entry struct {
	claims   []*pb.Claim
	released []claimID
	expires  time.Time
}

type claimID struct {
	owner       string
	incarnation int64
	attempt     uint64
}

func idOf(c *pb.Claim) claimID {
	return claimID{c.GetOwner(), c.GetOwnerIncarnation(), c.GetAttempt()}
}

func keyOf(c *pb.Claim) key { return key{c.GetTenant(), c.GetKey()} }

// NewMember returns the memory of a process that started at this time.
func NewMember(started time.Time, retention time.Duration) *Member {
	return &Member{started: started, retention: retention, entries: make(map[key]*entry)}
}

// Ready reports that the member may grant.
func (m *Member) Ready(now time.Time) bool {
	return m.recovered || now.Sub(m.started) >= m.retention
}

// MayRecover reports that claims pulled from now on complete the recovery.
func (m *Member) MayRecover(now time.Time) bool { return now.Sub(m.started) >= RecoveryDelay }

// MarkRecovered ends the recovery, after the claims of enough other members were
// pulled and merged, or when no earlier claim can exist.
func (m *Member) MarkRecovered() { m.recovered = true }

// Claim grants the first claim of a key. The same claim is granted again when it is resent.
func (m *Member) Claim(now time.Time, c *pb.Claim) (pb.ClaimOutcome, *pb.Claim) {
	m.sweep(now)
	e := m.live(now, keyOf(c))
	if e != nil && len(e.claims) > 0 && e.claims[0].GetState() == pb.ClaimState_CLAIM_STATE_ANSWERED {
		return pb.ClaimOutcome_CLAIM_OUTCOME_TAKEN, e.claims[0]
	}
	if !m.Ready(now) {
		return pb.ClaimOutcome_CLAIM_OUTCOME_RECOVERING, nil
	}
	if e == nil {
		if len(m.entries) >= maxClaims {
			return pb.ClaimOutcome_CLAIM_OUTCOME_FULL, nil
		}
		e = &entry{}
		m.entries[keyOf(c)] = e
	}
	if slices.Contains(e.released, idOf(c)) {
		// The claim was overtaken by its release; a grant would block the key.
		return pb.ClaimOutcome_CLAIM_OUTCOME_TAKEN, c
	}
	switch {
	case len(e.claims) == 0:
		e.claims = []*pb.Claim{c}
		e.expires = now.Add(m.retention)
		return pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED, nil
	case len(e.claims) == 1 && idOf(e.claims[0]) == idOf(c):
		return pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED, nil
	default:
		return pb.ClaimOutcome_CLAIM_OUTCOME_TAKEN, e.claims[0]
	}
}

// Complete takes the end of a claim: its response, or its release.
func (m *Member) Complete(now time.Time, c *pb.Claim) {
	m.sweep(now)
	switch c.GetState() {
	case pb.ClaimState_CLAIM_STATE_ANSWERED:
		m.answer(now, c, now.Add(m.retention))
	case pb.ClaimState_CLAIM_STATE_RELEASED:
		m.release(now, c)
	}
}

// answer replaces all claims of the key: only the owner of a majority can have one.
func (m *Member) answer(now time.Time, c *pb.Claim, expires time.Time) {
	e := m.live(now, keyOf(c))
	if e == nil {
		e = &entry{}
		m.entries[keyOf(c)] = e
	}
	m.forgetBytes(e)
	if size := answerSize(c); m.answerBytes+size > maxAnswerBytes {
		// The claim matters more than the response.
		c = withoutBody(c)
	}
	m.answerBytes += answerSize(c)
	e.claims = []*pb.Claim{c}
	e.expires = later(e.expires, expires)
}

func (m *Member) release(now time.Time, c *pb.Claim) {
	e := m.live(now, keyOf(c))
	if e == nil {
		e = &entry{expires: now.Add(m.retention)}
		m.entries[keyOf(c)] = e
	}
	id := idOf(c)
	e.claims = slices.DeleteFunc(e.claims, func(o *pb.Claim) bool {
		return idOf(o) == id && o.GetState() != pb.ClaimState_CLAIM_STATE_ANSWERED
	})
	if len(e.released) >= maxReleased {
		e.released = e.released[1:]
	}
	e.released = append(e.released, id)
}

// Page returns live claims after a cursor, for a member that recovers.
func (m *Member) Page(now time.Time, after string) (claims []*pb.Claim, more bool) {
	byCursor := make(map[string]key, len(m.entries))
	for k := range m.entries {
		if c := cursor(k); c > after {
			byCursor[c] = k
		}
	}
	for _, c := range slices.Sorted(maps.Keys(byCursor)) {
		if len(claims) >= pageSize {
			return claims, true
		}
		if e := m.live(now, byCursor[c]); e != nil {
			for _, claim := range e.claims {
				claims = append(claims, withExpiry(claim, e.expires))
			}
		}
	}
	return claims, false
}

// Cursor after the last claim of a page.
func Cursor(claims []*pb.Claim) string {
	if len(claims) == 0 {
		return ""
	}
	return cursor(keyOf(claims[len(claims)-1]))
}

func cursor(k key) string { return k.tenant + "\x00" + k.key }

// Merge takes claims of another member. Of a key with several claims none is
// granted again, because any of them may have a majority.
func (m *Member) Merge(now time.Time, claims []*pb.Claim) {
	for _, c := range claims {
		expires := time.UnixMilli(c.GetExpiresUnixMs())
		if !expires.After(now) {
			continue
		}
		if c.GetState() == pb.ClaimState_CLAIM_STATE_ANSWERED {
			m.answer(now, c, expires)
			continue
		}
		m.mergeOpen(now, c, expires)
	}
}

func (m *Member) mergeOpen(now time.Time, c *pb.Claim, expires time.Time) {
	e := m.live(now, keyOf(c))
	if e == nil {
		e = &entry{}
		m.entries[keyOf(c)] = e
	}
	id := idOf(c)
	known := slices.ContainsFunc(e.claims, func(o *pb.Claim) bool {
		return idOf(o) == id || o.GetState() == pb.ClaimState_CLAIM_STATE_ANSWERED
	})
	if known || slices.Contains(e.released, id) {
		return
	}
	e.claims = append(e.claims, c)
	e.expires = later(e.expires, expires)
}

// Len returns the number of keys that are remembered.
func (m *Member) Len() int { return len(m.entries) }

func (m *Member) live(now time.Time, k key) *entry {
	e := m.entries[k]
	if e == nil || now.Before(e.expires) {
		return e
	}
	m.forgetBytes(e)
	delete(m.entries, k)
	return nil
}

// sweep removes expired claims, at most once per second.
func (m *Member) sweep(now time.Time) {
	if now.Sub(m.swept) < time.Second {
		return
	}
	m.swept = now
	for k := range m.entries {
		m.live(now, k)
	}
}

func (m *Member) forgetBytes(e *entry) {
	for _, c := range e.claims {
		m.answerBytes -= answerSize(c)
	}
}

func answerSize(c *pb.Claim) int { return len(c.GetAnswer().GetBody()) }

func withoutBody(c *pb.Claim) *pb.Claim {
	out := copyClaim(c)
	out.Answer = &pb.StoredAnswer{Status: c.GetAnswer().GetStatus(), Truncated: true}
	return out
}

func withExpiry(c *pb.Claim, t time.Time) *pb.Claim {
	out := copyClaim(c)
	out.ExpiresUnixMs = t.UnixMilli()
	return out
}

func copyClaim(c *pb.Claim) *pb.Claim {
	return &pb.Claim{
		Service: c.GetService(), Tenant: c.GetTenant(), Key: c.GetKey(), Fingerprint: c.GetFingerprint(),
		Owner: c.GetOwner(), OwnerIncarnation: c.GetOwnerIncarnation(), Attempt: c.GetAttempt(),
		State: c.GetState(), Answer: c.GetAnswer(), ExpiresUnixMs: c.GetExpiresUnixMs(),
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
