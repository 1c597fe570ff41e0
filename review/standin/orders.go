package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	idleRoutes     = 1200 // idle_routes of braithwaite-tours-large
	bigConfigRoute = 1440 // the largest count of big_config there
	bigConfigs     = 2
	ordersAtOnce   = 8   // as many as PROTOCOL.md allows
	orderRounds    = 950 // hundreds of changes
	ordersTime     = 95 * time.Second
	lastReadTime   = 8 * time.Second
	endsOfAFault   = 3 // times that processes end by themselves on half of the core
)

// runOrders lets operators replace a grown configuration, with eight orders in progress, each on top of the current version,
// again and again. Without trouble there is one operator, and the configuration has not grown.
func runOrders(r *recorder, trouble bool) (int, error) {
	s, err := newSite(r, 4, 0)
	if err != nil {
		return couldNot, err
	}
	defer s.close()
	for _, m := range s.cores {
		m.memoryOn = true
	}
	if err := s.start(); err != nil {
		return couldNot, err
	}
	routes, operators := idleRoutes, 1
	if trouble {
		routes, operators = idleRoutes+bigConfigs*bigConfigRoute, ordersAtOnce
	}
	bodies := newBodies(routes)
	begin := time.Now()
	current, acknowledged, unclear := uint64(0), 0, 0
	list := make([]*operator, operators)
	for i := range list {
		list[i] = newOperator(s)
		list[i].next = i
	}
	for round := 0; round < orderRounds && time.Since(begin) < ordersTime; round++ {
		statuses := make([]int, operators)
		versions := make([]uint64, operators)
		var group sync.WaitGroup
		for i, o := range list {
			versions[i] = current + 1 + uint64(i)
			group.Go(func() {
				statuses[i] = o.order("config.replace", bodies.with(versions[i], current), begin.Add(ordersTime), fmt.Sprint("r", versions[i]))
			})
		}
		group.Wait()
		before := current
		for i, status := range statuses {
			switch {
			case status == http.StatusOK:
				acknowledged++
				current = max(current, versions[i])
			case status == 0:
				unclear++
			}
		}
		if current == before {
			// None has a clear answer, or all lost against one that has none.
			if v := awaitVersion(s, 5*time.Second); v > current {
				current = v
			}
		}
		if ended(s) {
			break
		}
	}
	r.addf("operator", "%d orders acknowledged, %d without a clear answer, newest acknowledged r%d", acknowledged, unclear, current)
	if acknowledged == 0 {
		return couldNot, errors.New("no configuration was accepted")
	}
	readBack := awaitVersion(s, lastReadTime)
	r.addf("check", "read back within %v: r%d", lastReadTime, readBack)
	for _, m := range s.cores {
		m.mu.Lock()
		r.addf("check", "Fault: %s ended by itself %d times, peak memory %d MB of %d MB", m.name(), len(m.ownEnds), m.peakMB, m.memoryMB)
		m.mu.Unlock()
	}
	if ended(s) {
		return broken, nil
	}
	return held, nil
}

// ended reports whether processes ended by themselves three times on half of the core.
func ended(s *site) bool {
	n := 0
	for _, m := range s.cores {
		m.mu.Lock()
		if len(m.ownEnds) >= endsOfAFault {
			n++
		}
		m.mu.Unlock()
	}
	return 2*n >= len(s.cores)
}

// awaitVersion asks the control machines for the version in force until one answers.
func awaitVersion(s *site, limit time.Duration) uint64 {
	o := newOperator(s)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, m := range s.cores {
			if version, status := o.readVersion(m.ip); status == http.StatusOK {
				return numberOf(version)
			}
		}
	}
	return 0
}

// numberOf returns the number of a configuration version, 0 for a text that is none.
func numberOf(version string) uint64 {
	n, err := strconv.ParseUint(strings.TrimPrefix(version, "r"), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// bodies are configurations that differ only in their versions and in one timeout.
type bodies struct{ parts []string }

const (
	versionMark = 900000000001
	baseMark    = 900000000002
	timeoutMark = "900000000003ms"
)

func newBodies(idle int) bodies {
	names := make([]string, idle)
	for i := range names {
		names[i] = strconv.FormatUint(36*36*36*36*36*36+rand.Uint64N(34*36*36*36*36*36*36), 36)
	}
	first := route(readPath, "idempotent", timeoutMark)
	text := string(configuration(versionMark, baseMark, []object{first}, idle, func(i int) string { return names[i] }))
	var out bodies
	for _, mark := range []string{fmt.Sprint("r", baseMark), timeoutMark, fmt.Sprint("r", versionMark)} {
		before, after, _ := strings.Cut(text, mark)
		out.parts = append(out.parts, before)
		text = after
	}
	out.parts = append(out.parts, text)
	return out
}

func (b bodies) with(version, base uint64) []byte {
	return []byte(b.parts[0] + fmt.Sprint("r", base) + b.parts[1] + fmt.Sprint(1000+version%500, "ms") + b.parts[2] + fmt.Sprint("r", version) + b.parts[3])
}
