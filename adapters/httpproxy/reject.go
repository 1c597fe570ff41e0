package httpproxy

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Reason says why a request was rejected or failed; it is the value of HeaderReason.
type Reason string

// Reasons of rejections (not run) and failures (unknown).
const (
	ReasonNoRoute          Reason = "no-route"
	ReasonTooLarge         Reason = "too-large"
	ReasonTooManyHeaders   Reason = "too-many-headers"
	ReasonInvalidHeader    Reason = "invalid-header"
	ReasonDepth            Reason = "depth-exceeded"
	ReasonQueueFull        Reason = "queue-full"
	ReasonShare            Reason = "share-exhausted"
	ReasonNotInTime        Reason = "cannot-start-in-time"
	ReasonNoEndpoint       Reason = "no-endpoint"
	ReasonLeaving          Reason = "leaving"
	ReasonFloor            Reason = "configuration-floor-unknown"
	ReasonVersion          Reason = "other-version"
	ReasonNoConnection     Reason = "no-connection"
	ReasonSuspect          Reason = "crash-suspect"
	ReasonDeadlineBefore   Reason = "deadline-before-start"
	ReasonCancelledBefore  Reason = "cancelled-before-start"
	ReasonKeyOwner         Reason = "key-owner-unreachable"
	ReasonKeyReused        Reason = "key-reused"
	ReasonUpstreamLost     Reason = "upstream-lost"
	ReasonUpstreamCrashed  Reason = "upstream-crashed"
	ReasonTruncated        Reason = "response-truncated"
	ReasonMismatch         Reason = "response-mismatch"
	ReasonResponseTooLarge Reason = "response-too-large"
	ReasonDeadlineAfter    Reason = "deadline-after-start"
	ReasonCancelledAfter   Reason = "cancelled-after-start"
	ReasonKeyClaimed       Reason = "key-claimed"
)

const statusClientClosedRequest = 499 // nobody reads it; it keeps counters apart from timeouts

type verdict struct {
	status int
	ran    string
}

var verdicts = map[Reason]verdict{
	ReasonNoRoute:          {fasthttp.StatusNotFound, RanNotRun},
	ReasonTooLarge:         {fasthttp.StatusRequestEntityTooLarge, RanNotRun},
	ReasonTooManyHeaders:   {fasthttp.StatusRequestHeaderFieldsTooLarge, RanNotRun},
	ReasonInvalidHeader:    {fasthttp.StatusBadRequest, RanNotRun},
	ReasonDepth:            {fasthttp.StatusBadRequest, RanNotRun},
	ReasonQueueFull:        {fasthttp.StatusTooManyRequests, RanNotRun},
	ReasonShare:            {fasthttp.StatusTooManyRequests, RanNotRun},
	ReasonNotInTime:        {fasthttp.StatusTooManyRequests, RanNotRun},
	ReasonNoEndpoint:       {fasthttp.StatusServiceUnavailable, RanNotRun},
	ReasonLeaving:          {fasthttp.StatusServiceUnavailable, RanNotRun},
	ReasonFloor:            {fasthttp.StatusServiceUnavailable, RanNotRun},
	ReasonVersion:          {fasthttp.StatusServiceUnavailable, RanNotRun},
	ReasonNoConnection:     {fasthttp.StatusServiceUnavailable, RanNotRun},
	ReasonSuspect:          {fasthttp.StatusUnprocessableEntity, RanNotRun},
	ReasonKeyReused:        {fasthttp.StatusUnprocessableEntity, RanNotRun},
	ReasonDeadlineBefore:   {fasthttp.StatusGatewayTimeout, RanNotRun},
	ReasonCancelledBefore:  {statusClientClosedRequest, RanNotRun},
	ReasonKeyOwner:         {fasthttp.StatusServiceUnavailable, RanNotRun},
	ReasonUpstreamLost:     {fasthttp.StatusBadGateway, RanUnknown},
	ReasonUpstreamCrashed:  {fasthttp.StatusBadGateway, RanUnknown},
	ReasonTruncated:        {fasthttp.StatusBadGateway, RanUnknown},
	ReasonMismatch:         {fasthttp.StatusBadGateway, RanUnknown},
	ReasonResponseTooLarge: {fasthttp.StatusBadGateway, RanUnknown},
	ReasonDeadlineAfter:    {fasthttp.StatusGatewayTimeout, RanUnknown},
	ReasonCancelledAfter:   {statusClientClosedRequest, RanUnknown},
	ReasonKeyClaimed:       {fasthttp.StatusConflict, RanUnknown},
}

// rejection is a response that the system itself makes.
type rejection struct {
	reason     Reason
	retryAfter time.Duration // with status 429
	detail     string
	// mayHaveRun is true when an earlier attempt of the call may have run, so that
	// the rejection of the last one does not say that the call was not run.
	mayHaveRun bool
}

func reject(r Reason) *rejection { return &rejection{reason: r} }

func (r *rejection) ran() string {
	if r.mayHaveRun {
		return RanUnknown
	}
	return verdicts[r.reason].ran
}

func (r *rejection) status() int { return verdicts[r.reason].status }

// write replaces the response by the rejection.
func (r *rejection) write(ctx *fasthttp.RequestCtx) {
	v := verdicts[r.reason]
	ctx.Response.Reset()
	ctx.Response.SetStatusCode(v.status)
	h := &ctx.Response.Header
	h.Set(HeaderRan, r.ran())
	h.Set(HeaderReason, string(r.reason))
	h.SetContentType("text/plain; charset=utf-8")
	if v.status == fasthttp.StatusTooManyRequests {
		seconds := int64((r.retryAfter + time.Second - 1) / time.Second)
		h.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(max(seconds, 1), 10))
	}
	text := r.ran() + ": " + string(r.reason)
	if r.detail != "" {
		text += ": " + r.detail
	}
	ctx.Response.SetBodyString(text + "\n")
}
