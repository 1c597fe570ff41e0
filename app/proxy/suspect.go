package proxy

import (
	"context"
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/core/placement"
	"github.com/rattanfield/rattanfield/core/suspects"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// maxIsolationWait bounds how long a suspect waits at a gate for another one to end. Then it may ask another gate.
const maxIsolationWait = 500 * time.Millisecond

// isolate lets a suspect wait until no other runs on the upstream. It returns the function that ends its isolation, or the
// reason why the request does not run.
func (g *Gate) isolate(ctx context.Context, x *meshhttp.Exchange, req gateRequest) (release func(), reason string) {
	g.learnSuspect(req.fingerprint, x.Request.Header.Peek(hopSuspect))
	switch g.suspects.Decide(req.fingerprint).Handling {
	case suspects.Run:
		return func() {}, ""
	case suspects.Reject:
		return nil, reasonCrashSuspect
	}
	timer := time.NewTimer(min(maxIsolationWait, time.Until(req.deadline)))
	defer timer.Stop()
	select {
	case g.isolated <- struct{}{}:
	case <-timer.C:
		return nil, reasonBusy
	case <-ctx.Done():
		return nil, reasonCancelled
	}
	release = func() { <-g.isolated }
	if g.suspects.Decide(req.fingerprint).Handling == suspects.Reject { // another one with the same fingerprint has run meanwhile
		release()
		return nil, reasonCrashSuspect
	}
	return release, ""
}

// completed reports whether a response with this status shows that its request does not crash upstreams. One that states a
// failure does not: the upstream may have failed before the part of the work that crashes it.
func completed(status int) bool { return status < fasthttp.StatusInternalServerError }

// learnSuspect applies the record of a suspect that another node has sent with its request or response.
func (g *Gate) learnSuspect(fingerprint uint64, header []byte) {
	if len(header) == 0 {
		return
	}
	b, err := base64.StdEncoding.DecodeString(string(header))
	if err != nil {
		return
	}
	record := &pb.SuspectRequest{}
	if proto.Unmarshal(b, record) == nil && record.GetFingerprint() == fingerprint {
		g.suspects.MergeFromNode(record)
	}
}

// setSuspect adds the record of a suspect, if there is one, to a request or response between nodes.
func setSuspect(h interface{ Set(key, value string) }, record *pb.SuspectRequest) {
	if record == nil {
		return
	}
	if b, err := proto.Marshal(record); err == nil {
		h.Set(hopSuspect, base64.StdEncoding.EncodeToString(b))
	}
}

// checkSuspect returns the reason why a request is not sent to a gate, or "". It finds out whether the request is isolated.
func (f *forwarding) checkSuspect() string {
	if f.entry.gate.suspects.Len() == 0 {
		return ""
	}
	f.suspicion = f.entry.gate.suspects.Decide(f.fingerprint())
	if f.suspicion.Handling == suspects.Reject {
		return reasonCrashSuspect
	}
	return ""
}

// fingerprint returns the fingerprint of the request.
func (f *forwarding) fingerprint() uint64 {
	if !f.hasFingerprint {
		f.fingerprintValue, f.hasFingerprint = fingerprint(f.service, f.out), true
	}
	return f.fingerprintValue
}

// isolatedGate returns the only candidate on which an isolated request may run, so that all nodes send it to the same one. That
// is the first one by rendezvous hash that has not been tried and is known to be available.
func isolatedGate(list []placement.Candidate, fingerprint uint64, excluded func(gate string) bool) []placement.Candidate {
	var best []placement.Candidate
	var highest uint64
	for _, c := range list {
		weight := xxhash.Sum64String(c.Gate + " " + formatFingerprint(fingerprint))
		if !c.Silent && !excluded(c.Gate) && (best == nil || weight > highest) {
			best, highest = []placement.Candidate{c}, weight
		}
	}
	return best
}

// suspectRetryAfter returns the Retry-After of a rejected suspect: when it may run once more, with a spread.
func (f *forwarding) suspectRetryAfter() time.Duration {
	return f.entry.gate.suspects.Decide(f.fingerprint()).Wait + f.entry.randomRetryAfter()
}

// describeCrashes returns the crashes that decided the handling of a request, with their age.
func describeCrashes(crashes []suspects.Crash) string {
	var b strings.Builder
	for i, c := range crashes {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(c.Upstream + "/" + strconv.FormatInt(c.Age.Milliseconds(), 10) + "ms")
	}
	return b.String()
}
