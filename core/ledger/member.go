package ledger

import (
	"maps"
	"slices"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	// Retention is how long a claim and its response are stored.
	Retention = 10 * time.Minute
	// ClaimWindow is the time from the start of an Attempt within which grants count.
	ClaimWindow = time.Second
	// RecoveryDelay exceeds ClaimWindow to allow for clocks that run at different rates.
	RecoveryDelay = 2 * ClaimWindow
	// GroupWindow is how long after a change of the ledger group claims also need a majority
	// of the previous group. It exceeds Retention by the time that a gate may take to learn of
	// the change.
	GroupWindow = Retention + time.Minute

	maxClaims      = 1 << 16
	maxAnswerBytes = 32 << 20 // total size of the response bodies that a member stores
	maxReleased    = 8        // released claims remembered per key
	pageSize       = 256      // claims, exceeded when the last key has several
)

// Member holds the claims that one member of a ledger group knows. It is not
// safe for concurrent use.
type Member struct {
	started     time.Time
	retention   time.Duration
	recovered   bool // set by MarkRecovered
	entries     map[key]*entry
	answerBytes int // total size of the stored response bodies
	lastSweep   time.Time
}

type key struct{ tenant, key string }

// entry holds the claims of one key. It has more than one claim only after a
// merge, when the votes of the group were divided among gates.
type entry struct {
	claims   []*pb.Claim
	released []claimID // a claim that arrives after its release is not granted
	expires  time.Time
}

// claimID identifies one claim of one gate.
type claimID struct {
	owner       string // node of the gate
	incarnation int64  // start of the gate's process, Unix nanoseconds
	attempt     uint64 // counts the claims of the process
}

func idOf(c *pb.Claim) claimID {
	return claimID{c.GetOwner(), c.GetOwnerIncarnation(), c.GetAttempt()}
}

func keyOf(c *pb.Claim) key { return key{c.GetTenant(), c.GetKey()} }

// NewMember returns a member without claims for a process that started at the given time.
func NewMember(started time.Time, retention time.Duration) *Member {
	return &Member{started: started, retention: retention, entries: make(map[key]*entry)}
}

// Ready reports whether the member may grant claims: its recovery has ended, or
// every claim from before its start has expired.
func (m *Member) Ready(now time.Time) bool {
	return m.recovered || now.Sub(m.started) >= m.retention
}

// MayRecover reports whether RecoveryDelay has passed, so that claims pulled
// from now on can complete the recovery.
func (m *Member) MayRecover(now time.Time) bool { return now.Sub(m.started) >= RecoveryDelay }

// MarkRecovered ends the recovery. Callers use it after they merged the claims of
// enough other members, or when no earlier claim can exist.
func (m *Member) MarkRecovered() { m.recovered = true }

// Claim grants the first claim of a key, and the same claim again when it is
// resent. With the outcome TAKEN it returns the claim that the key has, or c
// itself when c was released before.
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
		// The release arrived before the claim; granting the claim now would block the key.
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

// Complete records the end of a claim: its stored response, or its release.
func (m *Member) Complete(now time.Time, c *pb.Claim) {
	m.sweep(now)
	switch c.GetState() {
	case pb.ClaimState_CLAIM_STATE_ANSWERED:
		m.answer(now, c, now.Add(m.retention))
	case pb.ClaimState_CLAIM_STATE_RELEASED:
		m.release(now, c)
	}
}

// answer stores a claim with its response. It replaces all claims of the key,
// because only a gate with a majority can have a response.
func (m *Member) answer(now time.Time, c *pb.Claim, expires time.Time) {
	e := m.live(now, keyOf(c))
	if e == nil {
		e = &entry{}
		m.entries[keyOf(c)] = e
	}
	m.subtractAnswerBytes(e)
	if size := answerSize(c); m.answerBytes+size > maxAnswerBytes {
		// Dropping the response body is better than dropping the claim, which prevents a second run.
		c = withoutBody(c)
	}
	m.answerBytes += answerSize(c)
	e.claims = []*pb.Claim{c}
	e.expires = later(e.expires, expires)
}

// release removes a claim without a response and remembers the release, in case
// the claim itself arrives later.
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

// Page returns the unexpired claims after a cursor, for a member that recovers,
// and whether there are more. An empty cursor starts at the first claim.
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

// Cursor returns the cursor after the last claim of a page, or "" for an empty page.
func Cursor(claims []*pb.Claim) string {
	if len(claims) == 0 {
		return ""
	}
	return cursor(keyOf(claims[len(claims)-1]))
}

func cursor(k key) string { return k.tenant + "\x00" + k.key }

// Merge adds the claims of another member. When a key then has several claims,
// none of them is granted again, because any of them may have a majority.
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
		m.mergeUnanswered(now, c, expires)
	}
}

func (m *Member) mergeUnanswered(now time.Time, c *pb.Claim, expires time.Time) {
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

// Len returns the number of stored keys.
func (m *Member) Len() int { return len(m.entries) }

// live returns the entry of a key, or nil when there is none or it has expired.
// It deletes an expired entry.
func (m *Member) live(now time.Time, k key) *entry {
	e := m.entries[k]
	if e == nil || now.Before(e.expires) {
		return e
	}
	m.subtractAnswerBytes(e)
	delete(m.entries, k)
	return nil
}

// sweep removes expired claims, at most once per second.
func (m *Member) sweep(now time.Time) {
	if now.Sub(m.lastSweep) < time.Second {
		return
	}
	m.lastSweep = now
	for k := range m.entries {
		m.live(now, k)
	}
}

func (m *Member) subtractAnswerBytes(e *entry) {
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
