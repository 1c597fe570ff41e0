package carry

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/core/admission"
)

// Headers are the names that callers and upstreams use.
type Headers struct {
	ID             string // of a request, chosen by its caller; upstreams repeat it
	RemainingMs    string // time that the caller waits, or that is left
	ExpectInstance string // the upstream that is meant; another one rejects the request
	NotRun         string // in a response: the upstream did not run the request
	Signature      string // in a response: proof that an upstream made it
	Caller         string // service on the host where the request began
}

// Headers between entry and gate. A client cannot set any of them.
const (
	hopPrefix      = "X-Rattanfield-"
	hopService     = hopPrefix + "Service"
	hopVersion     = hopPrefix + "Version"
	hopRoute       = hopPrefix + "Route"
	hopPriority    = hopPrefix + "Priority"
	hopIdempotent  = hopPrefix + "Idempotent"
	hopRemainingMs = hopPrefix + "Remaining-Ms"
	hopGoalMs      = hopPrefix + "Goal-Ms"   // left until the goal
	hopBudgetMs    = hopPrefix + "Budget-Ms" // whole goal
	hopRan         = hopPrefix + "Ran"
	hopReason      = hopPrefix + "Reason"
	hopLoad        = hopPrefix + "Load" // running,queued,slots,service time in microseconds
)

// Values of hopRan.
const (
	ranYes     = "run"
	ranNo      = "not-run"
	ranUnknown = "unknown"
)

// Reasons of requests that an upstream did not answer.
const (
	reasonNoPlan      = "no-plan"
	reasonNoRoute     = "no-route"
	reasonBadRequest  = "bad-request"
	reasonNoEndpoint  = "no-endpoint"
	reasonBusy        = "busy" // the gate has too long a queue
	reasonFull        = "full" // every gate that is known stated too long a queue
	reasonEvicted     = "evicted"
	reasonLeaving     = "leaving"
	reasonNoUpstream  = "no-upstream"
	reasonMoved       = "moved" // another service, version or process is there now
	reasonShed        = "shed"  // the upstream did not run it
	reasonUnreachable = "unreachable"
	reasonLost        = "lost"
	reasonUnreadable  = "unreadable-answer"
	reasonDeadline    = "deadline"
	reasonCancelled   = "cancelled"
	reasonStopping    = "stopping"
)

// hopByHop headers concern one connection.
var hopByHop = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderTE, fasthttp.HeaderTrailer,
	fasthttp.HeaderUpgrade, fasthttp.HeaderExpect, fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization,
}

// copyRequest copies what is passed on: method, target and body byte for byte.
func copyRequest(in, out *fasthttp.Request) {
	in.Header.CopyTo(&out.Header)
	out.SetBodyRaw(in.Body())
	for _, name := range hopByHop {
		out.Header.Del(name)
	}
	out.Header.ResetConnectionClose()
	out.Header.SetProtocol("HTTP/1.1")
}

// dropHopHeaders removes the headers between entry and gate.
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

func cleanResponse(r *fasthttp.Response) {
	for _, name := range hopByHop {
		r.Header.Del(name)
	}
	r.Header.ResetConnectionClose()
}

// milliseconds of a header; ok is false when it is missing or not a number.
func milliseconds(v []byte) (d time.Duration, ok bool) {
	n, err := strconv.ParseFloat(string(v), 64)
	if err != nil || n < 0 || n > maxMilliseconds {
		return 0, false
	}
	return time.Duration(n * float64(time.Millisecond)), true
}

const maxMilliseconds = 1 << 31

func formatMs(d time.Duration) string { return strconv.FormatInt(max(d.Milliseconds(), 1), 10) }

func formatLoad(l admission.Load) string {
	b := make([]byte, 0, 32)
	b = strconv.AppendInt(b, int64(l.Running), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, int64(l.Queued), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, int64(l.Slots), 10)
	b = append(b, ',')
	return string(strconv.AppendInt(b, l.Service.Microseconds(), 10))
}

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
	return &admission.Load{Running: n[0], Queued: n[1], Slots: n[2], Service: time.Duration(n[3]) * time.Microsecond}
}

// ClosingResponse is what a gate writes before it closes an idle connection. An entry
// whose request crossed the close reads it as the answer to that request.
const ClosingResponse = "HTTP/1.1 503 Service Unavailable\r\n" + hopRan + ": " + ranNo + "\r\n" + hopReason + ": " + reasonStopping +
	"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
