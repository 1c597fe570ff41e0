package proxy

import (
	"bytes"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/core/admission"
)

// Headers holds the names of the headers that callers and upstreams use.
type Headers struct {
	ID             string // request id, chosen by the caller; upstreams echo it in the response
	RemainingMs    string // milliseconds until the deadline, set by the caller and updated by the gate
	ExpectInstance string // instance of the intended upstream; another one rejects the request
	NotRun         string // in a response: the upstream did not run the request
	Signature      string // in a response: proof that it comes from an upstream
	Caller         string // service on the host of the caller
	Key            string // key of the caller's organisation; never passed on
	Organisation   string // name of the caller's organisation; set by the entry for the upstream
	ColdMs         string // in a response of the health path: remaining slow start in milliseconds
}

// Headers between entry and gate. The entry removes them from client requests, so that a client cannot set them.
const (
	hopPrefix         = "X-Rattanfield-"
	hopService        = hopPrefix + "Service"
	hopVersion        = hopPrefix + "Version"
	hopRoute          = hopPrefix + "Route"
	hopPriority       = hopPrefix + "Priority"
	hopIdempotent     = hopPrefix + "Idempotent"
	hopRemainingMs    = hopPrefix + "Remaining-Ms"
	hopGoalMs         = hopPrefix + "Goal-Ms"   // remaining time until the goal
	hopGoalDurationMs = hopPrefix + "Budget-Ms" // time that the route allows until the goal, whatever part of it has passed
	hopRan            = hopPrefix + "Ran"
	hopReason         = hopPrefix + "Reason"
	hopLoad           = hopPrefix + "Load"         // running,queued,slots,service time in microseconds
	hopTook           = hopPrefix + "Took-Us"      // in a response: time of the request on the upstream, in microseconds
	hopOrganisation   = hopPrefix + "Organisation" // name of the caller's organisation
	hopRejected       = hopPrefix + "Rejected"     // in responses to nested calls: thousandths of other requests that the gate rejects, by priority
	hopNested         = hopPrefix + "Nested"       // set for a nested call of a request that an upstream runs
	hopRetry          = hopPrefix + "Retry"        // set for a retry that follows an arrival at an upstream, and for a nested call of one
	hopCold           = hopPrefix + "Cold"         // in responses: remaining slow start in milliseconds, and the share of its limit that is free in thousandths
	hopState          = hopPrefix + "State"        // in rejections for an evacuation: the state that the gate knows, see controlclient.View.ChangeCount
	hopSuspect        = hopPrefix + "Suspect"      // pb.SuspectRequest in base64, in requests and responses
)

// OrganisationHeader is the header by which gates learn the organisation of a request.
const OrganisationHeader = hopOrganisation

// Values of hopRan.
const (
	ranYes     = "run"
	ranNo      = "not-run"
	ranUnknown = "unknown"
)

// Reasons why a request was not answered by an upstream.
const (
	reasonNoPlan         = "no-plan"
	reasonNoRoute        = "no-route"
	reasonUnknownKey     = "unknown-key" // the request has no key, several, or one that no organisation holds
	reasonQuota          = "quota"       // the organisation has used up its quota
	reasonBadRequest     = "bad-request"
	reasonNoEndpoint     = "no-endpoint"
	reasonBusy           = "busy"       // the queue of the gate is too long
	reasonFairShare      = "fair-share" // the organisation demands more than its fair share of a busy upstream
	reasonFull           = "full"       // all known gates reported a queue that is too long
	reasonOverload       = "overload"   // gates rejected most requests of the route recently; this one was not sent
	reasonProcessor      = "processor"  // connections wait too long to be accepted, because the node lacks processor time
	reasonLink           = "link"       // the link of the gate's node is too busy for the body
	reasonDependency     = "dependency" // a service that the request would call rejects others that are as urgent or more
	reasonMemory         = "memory"     // other requests and connections leave too little memory for this one or its response
	reasonEvicted        = "evicted"
	reasonEvacuated      = "evacuated" // the failure domain is evacuated; of an entry: all that remain are
	reasonCold           = "cold"      // the upstream is in its slow start and takes no more requests now
	reasonNoRegion       = "no-region" // no upstream is in the regions that the request is bound to
	reasonLeaving        = "leaving"
	reasonNoUpstream     = "no-upstream"
	reasonOtherUpstream  = "moved" // the host has an upstream of another service or version, or another process than the queued request waits for
	reasonUpstreamNotRun = "shed"  // the upstream answered that it did not run the request
	reasonUnreachable    = "unreachable"
	reasonLost           = "lost"
	reasonUpstreamEnded  = "upstream-ended" // the process of the upstream ended while it ran the request
	reasonCrashSuspect   = "crash-suspect"  // upstreams ended while they ran the same request
	reasonUnreadable     = "unreadable-answer"
	reasonDeadline       = "deadline"
	reasonCancelled      = "cancelled"
	reasonStopping       = "stopping"
	reasonNoTime         = "no-time" // the node of the gate stops before the time limit of the request
)

// hopByHop lists the hop-by-hop headers of HTTP, which concern one connection and are not forwarded.
var hopByHop = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderTE, fasthttp.HeaderTrailer,
	fasthttp.HeaderUpgrade, fasthttp.HeaderExpect, fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization,
}

// copyRequest copies a request without its hop-by-hop headers. Method, target and
// body are copied byte for byte.
func copyRequest(in, out *fasthttp.Request) {
	in.Header.CopyTo(&out.Header)
	out.SetBodyRaw(in.Body())
	for _, name := range hopByHop {
		out.Header.Del(name)
	}
	out.Header.ResetConnectionClose()
	out.Header.SetProtocol("HTTP/1.1")
}

// dropHopHeaders removes all headers with hopPrefix.
func dropHopHeaders(h interface {
	Del(key string)
}, all func(func(k, v []byte) bool),
) {
	var names []string
	all(func(k, _ []byte) bool {
		if len(k) > len(hopPrefix) && strings.EqualFold(string(k[:len(hopPrefix)]), hopPrefix) {
			names = append(names, string(k))
		}
		return true
	})
	for _, n := range names {
		h.Del(n)
	}
}

// dropHopByHop removes the hop-by-hop headers of a response.
func dropHopByHop(r *fasthttp.Response) {
	for _, name := range hopByHop {
		r.Header.Del(name)
	}
	r.Header.ResetConnectionClose()
}

// parseMs parses a header value in milliseconds. ok is false if the value is
// missing, not a number, negative or above maxMs.
func parseMs(v []byte) (d time.Duration, ok bool) {
	n, err := strconv.ParseFloat(string(v), 64)
	// ParseFloat also reads NaN, hexadecimal numbers and underscores.
	if err != nil || len(bytes.Trim(v, "0123456789.eE+-")) > 0 || n < 0 || n > maxMs {
		return 0, false
	}
	return time.Duration(math.Round(n * float64(time.Millisecond))), true
}

const maxMs = 1 << 31

// formatMs formats whole milliseconds, at least 1.
func formatMs(d time.Duration) string { return strconv.FormatInt(max(d.Milliseconds(), 1), 10) }

// formatLoad returns the value of hopLoad.
func formatLoad(l admission.Load) string {
	b := make([]byte, 0, 32)
	b = strconv.AppendInt(b, int64(l.Running), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, int64(l.Queued), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, int64(l.Slots), 10)
	b = append(b, ',')
	return string(strconv.AppendInt(b, l.ServiceTime.Microseconds(), 10))
}

// parseLoad parses the value of hopLoad; it returns nil if the value is not valid.
func parseLoad(v []byte) *admission.Load {
	parts := strings.Split(string(v), ",")
	if len(parts) != 4 {
		return nil
	}
	var n [4]int
	for i, p := range parts {
		var err error
		if n[i], err = strconv.Atoi(p); err != nil {
			return nil
		}
	}
	return &admission.Load{Running: n[0], Queued: n[1], Slots: n[2], ServiceTime: time.Duration(n[3]) * time.Microsecond}
}

// ClosingResponse is the HTTP response that a gate writes before it closes an idle
// connection. An entry that sends a request at the same time reads it as the
// response to that request, and so learns that the request did not run.
const ClosingResponse = "HTTP/1.1 503 Service Unavailable\r\n" + hopRan + ": " + ranNo + "\r\n" + hopReason + ": " + reasonStopping +
	"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
