package main

import (
	"encoding/json"
	"fmt"
	"math/big"
	"net/http"
	"strings"
	"time"
)

// tenths are the times of the routes that the operator sends, in tenths of a second.
var tenths = []int{15, 20, 25, 41, 82, 164}

// exactTime returns the time that a text states, a number with the unit ms or s, in seconds.
func exactTime(text string) (*big.Rat, error) {
	number, divisor := strings.TrimSuffix(text, "s"), int64(1)
	if n, ok := strings.CutSuffix(text, "ms"); ok {
		number, divisor = n, 1000
	}
	r, ok := new(big.Rat).SetString(number)
	if !ok || number == text {
		return nil, fmt.Errorf("%q is not a time", text)
	}
	return r.Quo(r, big.NewRat(divisor, 1)), nil
}

// readTimes returns the timeouts of a configuration that a control host returned, by name of the route.
func readTimes(body []byte) (version string, timeouts map[string]string, err error) {
	var in struct {
		Version string
		Hosts   []struct {
			Paths []struct{ Name, Timeout string }
		}
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return "", nil, err
	}
	timeouts = make(map[string]string)
	for _, h := range in.Hosts {
		for _, p := range h.Paths {
			timeouts[p.Name] = p.Timeout
		}
	}
	return in.Version, timeouts, nil
}

// timesInSeconds lets an operator change the time-outs of routes, which it states in seconds, and reads the configuration back. Without the
// trouble, it states the same times in milliseconds.
func timesInSeconds(c *caseRun) (bool, error) {
	const controls, changes = 4, 5
	s, _, err := controlSite(c, controls)
	if err != nil {
		return false, err
	}
	o := newOperator(s.controlAddresses())
	plan := &configuration{services: []string{"huvo11a"}}
	sent := make(map[string]string)
	for change := range changes {
		plan.base, plan.number, plan.routes = plan.number, plan.number+3, nil
		for i, t := range tenths {
			t += changes - 1 - change // the last configuration has the times of the list
			text := fmt.Sprintf("%dms", 100*t)
			if c.trouble {
				text = fmt.Sprintf("%d.%ds", t/10, t%10)
			}
			name := fmt.Sprintf("r-%d", i)
			sent[name] = text
			plan.routes = append(plan.routes, fmt.Sprintf(
				`{"host":"ficu%d.example","paths":[{"name":%q,"path_prefix":"/lohu930/","kind":"idempotent","timeout":%q,"slo":"400ms","priority":2,"service":"huvo11a","max_attempts":2}]}`, i, name, text))
		}
		status, answer := o.call("config.replace", plan.body(), 20*time.Second)
		c.record("sent r%d with the timeouts %v: %d", plan.number, sent, status)
		if status != http.StatusOK {
			return false, fmt.Errorf("r%d got %d: %s", plan.number, status, answer)
		}
	}
	broken := false
	for _, address := range s.controlAddresses() {
		different, err := c.compareRead(address, plan.number, sent)
		if err != nil {
			return false, err
		}
		broken = broken || different
	}
	return broken, nil
}

// compareRead reads the configuration at a control host and reports whether it differs from what was sent under its number.
func (c *caseRun) compareRead(address string, number int, sent map[string]string) (different bool, err error) {
	status, body := newOperator([]string{address}).call("config.get", nil, 10*time.Second)
	if status != http.StatusOK {
		return false, fmt.Errorf("config.get at %s got %d", address, status)
	}
	version, timeouts, err := readTimes(body)
	if err != nil {
		return false, err
	}
	if version != fmt.Sprintf("r%d", number) || len(timeouts) != len(sent) {
		c.record("%s returns %s with %d routes", address, version, len(timeouts))
		return true, nil
	}
	for name, text := range sent {
		want, err := exactTime(text)
		if err != nil {
			return false, err
		}
		got, err := exactTime(timeouts[name])
		if err != nil {
			return false, err
		}
		if got.Cmp(want) != 0 {
			c.record("%s returns %s with the timeout %s of route %s, which was sent as %s", address, version, timeouts[name], name, text)
			different = true
		}
	}
	return different, nil
}
