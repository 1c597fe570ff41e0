package proxy

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
)

// gateRequest holds what the headers of an entry's request tell the gate.
type gateRequest struct {
	id, service, version, route string
	organisation                string // "": none
	priority                    uint32
	idempotent                  bool
	lateNested                  bool // see Gate.handle
	nested                      bool // a nested call of a request that an upstream runs
	retry                       bool // see hopRetry
	deadline, goal              time.Time
	passedDeadline              time.Time // as the upstream computes it; set by Gate.run
	goalDuration                time.Duration
	received                    time.Time
	fingerprint                 uint64 // see fingerprint; set by Gate.handle
}

// parseRequest reads the headers of the entry. It returns false if the remaining
// time, the priority or the service is missing or not valid.
func (g *Gate) parseRequest(x *meshhttp.Exchange) (gateRequest, bool) {
	h := &x.Request.Header
	remaining, ok := parseMs(h.Peek(hopRemainingMs))
	goal, _ := parseMs(h.Peek(hopGoalMs))
	goalDuration, _ := parseMs(h.Peek(hopGoalDurationMs))
	priority, err := strconv.ParseUint(string(h.Peek(hopPriority)), 10, 32)
	req := gateRequest{
		id: string(h.Peek(g.options.Headers.ID)), service: string(h.Peek(hopService)), version: string(h.Peek(hopVersion)),
		route: string(h.Peek(hopRoute)), organisation: string(h.Peek(hopOrganisation)), priority: uint32(priority), idempotent: len(h.Peek(hopIdempotent)) > 0,
		deadline: x.Received.Add(remaining), goal: x.Received.Add(goal), goalDuration: goalDuration, received: x.Received,
		nested: len(h.Peek(hopNested)) > 0, retry: len(h.Peek(hopRetry)) > 0,
	}
	return req, ok && err == nil && req.service != ""
}

// rejectionSample maps a request id to a uniform number in [0,1), which is the same
// at every gate; see admission.Request.
func rejectionSample(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }
