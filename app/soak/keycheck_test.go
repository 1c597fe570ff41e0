package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// keyCase is a request to node 0 and the run of it on the upstream of node 1, if arrived is not 0.
type keyCase struct {
	use            use
	organisation   string // of the key
	sent, arrived  float64
	status         int
	stated         string // organisation that the upstream was told of
	hasKey, killed bool   // the upstream got a key; node 0 was killed 1 s before
}

// violations judges the request. Keys of rotatingOrganisation are in plans from 10 s on, acknowledged at 11 s, and withdrawn by a plan that was sent at 20 s and
// acknowledged at 21 s.
func (c keyCase) violations() []string {
	held := heldKey{key: "key", organisation: c.organisation, number: 7, offered: second(10), accepted: second(11), withdrawing: second(20), withdrawn: second(21)}
	if c.organisation != rotatingOrganisation {
		held.withdrawing, held.withdrawn = time.Time{}, time.Time{}
	}
	k := &credentials{use: c.use, sent: []string{"key"}}
	if c.use == validUse {
		k.held = &held
	}
	q := sending{id: "k-1", node: 0, at: second(c.sent), ended: second(c.sent + 0.1), status: c.status, credentials: k}
	var arrivals []arrival
	if c.arrived > 0 {
		arrivals = []arrival{{id: "k-1", node: 1, at: second(c.arrived), organisation: c.stated, hasKey: c.hasKey}}
	}
	touch := newTestTouch()
	if c.killed {
		touch.record(false, []int{0}, second(c.sent-1), second(c.sent-0.5))
	}
	out, _, _ := keyCheck{clock: clock{testStart}, touch: touch, keys: map[string]heldKey{"key": held}}.violations([]sending{q}, arrivals)
	return out
}

// Guards against a check of keys that passes although a request runs, or is rejected, against the rules.
func TestWrongUseOfKeysIsAViolation(t *testing.T) {
	const ok, denied, unavailable = http.StatusOK, http.StatusUnauthorized, http.StatusServiceUnavailable
	for name, c := range map[string]keyCase{
		"withdrawn key runs":             {use: validUse, organisation: rotatingOrganisation, sent: 23.6, arrived: 23.61, status: ok, stated: rotatingOrganisation},
		"withdrawn key runs, no answer":  {use: validUse, organisation: rotatingOrganisation, sent: 23.6, arrived: 23.61, stated: rotatingOrganisation},
		"withdrawn key is not denied":    {use: validUse, organisation: rotatingOrganisation, sent: 23.6, status: unavailable},
		"unknown key runs":               {use: unknownUse, sent: 10, arrived: 10.01, status: ok},
		"unknown key runs, not in touch": {use: unknownUse, sent: 10, arrived: 10.01, killed: true},
		"unknown key is not denied":      {use: unknownUse, sent: 10, status: unavailable},
		"unknown key without a route":    {use: unknownUse, sent: 10, status: http.StatusNotFound, killed: true},
		"request without a key runs":     {use: missingUse, sent: 10, arrived: 10.01, status: ok},
		"request with two keys runs":     {use: doubleUse, sent: 10, arrived: 10.01, status: ok},
		"key of all plans is denied":     {use: validUse, organisation: steadyOrganisation, sent: 10, status: denied, killed: true},
		"key of the plan is denied":      {use: validUse, organisation: rotatingOrganisation, sent: 13.6, status: denied},
		"denied, but it ran":             {use: validUse, organisation: rotatingOrganisation, sent: 22, arrived: 22.01, status: denied, stated: rotatingOrganisation},
		"public route is denied":         {use: publicUse, sent: 10, status: denied},
		"429 without a quota":            {use: validUse, organisation: steadyOrganisation, sent: 10, status: http.StatusTooManyRequests},
		"upstream gets a key":            {use: validUse, organisation: steadyOrganisation, sent: 10, arrived: 10.01, status: ok, stated: steadyOrganisation, hasKey: true},
		"upstream gets a key, public":    {use: publicUse, sent: 10, arrived: 10.01, status: ok, hasKey: true},
		"upstream gets what was claimed": {use: validUse, organisation: steadyOrganisation, sent: 10, arrived: 10.01, status: ok, stated: claimed},
		"upstream gets no organisation":  {use: validUse, organisation: steadyOrganisation, sent: 10, arrived: 10.01, status: ok},
		"upstream gets a name, public":   {use: publicUse, sent: 10, arrived: 10.01, status: ok, stated: claimed},
	} {
		out := c.violations()
		if len(out) != 1 || !strings.Contains(out[0], "node 0") && !strings.Contains(out[0], "node 1") || !strings.Contains(out[0], " s ") {
			t.Errorf("%s: %v", name, out)
		}
	}
	for name, c := range map[string]keyCase{
		"served":                         {use: validUse, organisation: steadyOrganisation, sent: 10, arrived: 10.01, status: ok, stated: steadyOrganisation},
		"withdrawn key within the bound": {use: validUse, organisation: rotatingOrganisation, sent: 23.4, arrived: 23.41, status: ok, stated: rotatingOrganisation},
		"withdrawn key, not in touch":    {use: validUse, organisation: rotatingOrganisation, sent: 25, arrived: 25.01, status: ok, stated: rotatingOrganisation, killed: true},
		"withdrawn key denied":           {use: validUse, organisation: rotatingOrganisation, sent: 25, status: denied},
		"key of a new plan denied":       {use: validUse, organisation: rotatingOrganisation, sent: 13.4, status: denied},
		"key of an unclear plan denied":  {use: validUse, organisation: rotatingOrganisation, sent: 19.95, status: denied},
		"unknown key denied":             {use: unknownUse, sent: 10, status: denied},
		"unknown key, node without plan": {use: unknownUse, sent: 10, status: unavailable, killed: true},
		"unknown key without an answer":  {use: unknownUse, sent: 10},
		"quota":                          {use: validUse, organisation: limitedOrganisation, sent: 10, status: http.StatusTooManyRequests},
		"public":                         {use: publicUse, sent: 10, arrived: 10.01, status: ok},
	} {
		if out := c.violations(); len(out) != 0 {
			t.Errorf("%s: %v", name, out)
		}
	}
}

// Guards against a key in a log that is not noticed, and against a violation that contains it.
func TestKeyInALogIsAViolation(t *testing.T) {
	is := is.New(t)
	r := newRun(Options{Controls: 1})
	for i, line := range []string{"event=start\n", "event=rejected key=" + platformtest.KeyPrefix + "1f\n"} {
		p, err := newProcess("", "node", t.TempDir(), platformtest.Host{IP: fmt.Sprint("127.0.0.", i+1)}, &r.delays)
		is.NoErr(err)
		defer p.close()
		_, err = p.log.WriteString(line)
		is.NoErr(err)
		r.nodes = append(r.nodes, p)
	}
	out := r.keysInLogs()
	is.Equal(len(out), 1)
	is.True(strings.Contains(out[0], "node 127.0.0.2") && !strings.Contains(out[0], platformtest.KeyPrefix))
}

// Guards against a keyring that withdraws no key, or one that a plan still holds.
func TestKeysAreWithdrawn(t *testing.T) {
	is := is.New(t)
	k := newKeyring(1)
	for range 20 {
		planned := make(map[string]bool)
		for _, o := range k.nextPlan() {
			is.True(len(o.Keys) >= 1 && len(o.Keys) <= heldKeys)
			for _, key := range o.Keys {
				is.True(!planned[key])
				planned[key] = true
			}
		}
		k.acknowledged()
		for key, held := range k.all() {
			is.Equal(planned[key], held.withdrawn.IsZero())
			is.True(!held.accepted.IsZero())
		}
	}
	is.Equal(len(k.all()), 3+20/rotateEvery)
}
