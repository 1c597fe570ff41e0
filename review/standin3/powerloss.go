package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Values of the case of a loss of power behind many changes.
const (
	idleRoutes     = 1200                  // of the largest site
	addedRoutes    = 1600                  // the largest big_config
	changeInterval = 60 * time.Millisecond // of the fastest config_storm
	changesFor     = 90 * time.Second
	unsyncedNames  = 2 // removals that were not synced, on each host
	downFor        = 1300 * time.Millisecond
	readFor        = 15 * time.Second // bound recover
	restartDelay   = 500 * time.Millisecond
)

// runPowerLoss sends changes of the configuration until each control host has removed two segments of its log without a sync of the
// folder. Then all control hosts lose power, and on two of them one of the two removals is lost. What was acknowledged must be there.
func runPowerLoss(s *site, trouble bool) error {
	if err := s.start(1); err != nil {
		return err
	}
	var disks []*diskWatcher
	for _, h := range s.hosts {
		w, err := watchDisk(h)
		if err != nil {
			return err
		}
		defer w.close()
		disks = append(disks, w)
	}
	acknowledged, err := s.changeUntil(func() bool {
		for _, w := range disks {
			if len(w.removedNames()) < unsyncedNames {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	if trouble {
		if err := s.losePower(disks); err != nil {
			return err
		}
	}
	return s.readBack(acknowledged)
}

// losePower ends all control hosts at once and starts them again.
func (s *site) losePower(disks []*diskWatcher) error {
	for _, h := range s.hosts {
		h.kill()
	}
	for i, w := range disks {
		s.record.log("platform: %s lost power; not synced: the removal of %v", s.hosts[i].name, w.removedNames())
		if i == 0 {
			continue // all removals were kept
		}
		name, err := w.losePower()
		if err != nil {
			return err
		}
		s.record.log("platform: on the disk of %s the removal of %s was lost, the other one was kept", s.hosts[i].name, name)
	}
	time.Sleep(downFor)
	for _, h := range s.hosts {
		if err := h.start(false); err != nil {
			return err
		}
	}
	return nil
}

// changeUntil sends the first configuration and then changes of it until done returns true. It returns the number of the last one,
// which was acknowledged.
func (s *site) changeUntil(done func() bool) (uint64, error) {
	number, base := uint64(3), uint64(0)
	start := time.Now()
	for time.Since(start) < changesFor {
		b, err := json.Marshal(largePlan(number, base, idleRoutes+addedRoutes))
		if err != nil {
			return 0, err
		}
		if err := s.replace(number, b, s.hosts); err != nil {
			return 0, err
		}
		if done() {
			s.record.log("operator: version r%d is the last one", number)
			return number, nil
		}
		base, number = number, number+2
		time.Sleep(time.Until(start.Add(time.Duration(number) / 2 * changeInterval)))
	}
	return 0, fmt.Errorf("after %v the control hosts had not removed %d segments", changesFor, unsyncedNames)
}

// replace sends a configuration to control hosts in turn until one acknowledges it.
func (s *site) replace(number uint64, b []byte, hosts []*host) error {
	for i := range 50 {
		h := hosts[i%len(hosts)]
		status := post(h.address(offsetControl), "config.replace", "", b, 3*callTimeout)
		s.record.log("operator: version r%d (%d bytes) sent to %s, answered with %d", number, len(b), h.name, status)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("version r%d was not accepted", number)
}

// largePlan returns a configuration with a number of routes. Its versions differ only in the timeout of one route.
func largePlan(number, base uint64, count int) map[string]any {
	route := func(i int) map[string]any {
		return map[string]any{
			"name": "r-" + name(2*i, nameLength), "path_prefix": "/" + name(2*i+1, prefixLength) + "/", "kind": "idempotent", "timeout": "1200ms", "slo": "400ms", "priority": 2,
			"service": serviceDesk, "max_attempts": 2,
		}
	}
	routes := make([]any, 0, count)
	for i := range count {
		routes = append(routes, route(i))
	}
	routes[0].(map[string]any)["timeout"] = strconv.FormatUint(1000+number, 10) + "ms"
	return map[string]any{
		"version": "r" + strconv.FormatUint(number, 10), wire.Base: "r" + strconv.FormatUint(base, 10),
		"services": []any{map[string]any{"name": serviceDesk, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"hosts":    []any{map[string]any{"host": routeHost, "paths": routes}},
	}
}

// Lengths of the names and path prefixes of routes.
const (
	nameLength   = 12
	prefixLength = 24
)

// name returns a text of a length from a sequence without an order.
func name(i, length int) string {
	out := ""
	for x := uint64(i + 1); len(out) < length; {
		x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
		x ^= x >> 32
		out += strconv.FormatUint(x, 36)
	}
	return out[:length]
}

// readBack reads the configuration from all control hosts until one returns it. Processes that end are started again, as the platform
// does.
func (s *site) readBack(acknowledged uint64) error {
	want := "r" + strconv.FormatUint(acknowledged, 10)
	ends := make(map[string]int)
	for begin := time.Now(); time.Since(begin) < readFor; time.Sleep(restartDelay) {
		for _, h := range s.hosts {
			if h.process.ended() {
				ends[h.name]++
				s.record.log("platform: the process on %s has ended by itself, %d times so far: %s", h.name, ends[h.name], h.lastLine())
				if err := h.start(false); err != nil {
					return err
				}
				continue
			}
			status, b := postForBody(h.address(offsetControl), "config.get", "", nil, callTimeout)
			var plan struct {
				Version string `json:"version"`
			}
			_ = json.Unmarshal(b, &plan)
			s.record.log("operator: read from %s, answered with %d: version %q", h.name, status, plan.Version)
			switch {
			case status != http.StatusOK:
			case plan.Version == want:
				return nil
			default:
				return fmt.Errorf("LOST: version %s was acknowledged, and %s is read back: %w", want, plan.Version, errBroken)
			}
		}
	}
	return fmt.Errorf("LOST: version %s was acknowledged, and no control host returns a configuration for %v: %w", want, readFor, errBroken)
}
