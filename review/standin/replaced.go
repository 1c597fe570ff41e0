package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	replacements   = 4
	catchUp        = 4 * time.Second
	betweenChanges = 5 * time.Second // from the end of a replaced machine to the next replacement
)

// runReplaced replaces four of seven control machines one after the other, as planned: the new machine starts, has more
// than the bound catch_up, and then the old one gets SIGTERM. The newest acknowledged configuration is read back. Without
// trouble no machine is replaced.
func runReplaced(r *recorder, trouble bool) (int, error) {
	s, err := newSite(r, 7, 0)
	if err != nil {
		return couldNot, err
	}
	defer s.close()
	for i, m := range s.cores {
		m.zone, m.region = fmt.Sprint("zone-", i+1), fmt.Sprint("region-", i%3+1)
	}
	if err := s.start(); err != nil {
		return couldNot, err
	}
	o := newOperator(s)
	routes := []object{route(readPath, "idempotent", "2000ms")}
	version := uint64(0)
	change := func(limit time.Duration) bool {
		body := configuration(version+1, version, routes, 0, nil)
		if o.order("config.replace", body, time.Now().Add(limit), fmt.Sprint("r", version+1)) != http.StatusOK {
			return false
		}
		version++
		return true
	}
	if !change(20 * time.Second) {
		return couldNot, errors.New("the first configuration was not accepted")
	}
	time.Sleep(2 * catchUp)
	for i := range replacements {
		if trouble {
			old := s.cores[0]
			successor := &machine{site: s, role: "control", ip: old.ip + "0", zone: old.zone, region: old.region, memoryMB: old.memoryMB}
			// The list of the platform, from which the settings of later starts name three.
			s.cores = append(s.cores[1:len(s.cores):len(s.cores)], successor)
			r.addf("platform", "replacement %d: %s takes the place of %s", i+1, successor.name(), old.name())
			if err := successor.start(); err != nil {
				return couldNot, err
			}
			time.Sleep(catchUp + time.Second)
			r.addf("platform", "%s gets SIGTERM", old.name())
			old.terminate()
			s.gone = append(s.gone, old)
		}
		time.Sleep(betweenChanges)
		showVersions(o, "after a replacement")
		if !change(10 * time.Second) {
			r.addf("operator", "r%d has no ack", version+1)
			break
		}
	}
	read := uint64(0)
	for end := time.Now().Add(readBackTime); time.Now().Before(end) && read < version; time.Sleep(500 * time.Millisecond) {
		if v := showVersions(o, "read back"); v > 0 {
			read = v
		}
	}
	r.addf("check", "CONFIG: the newest acknowledged configuration is r%d; read back within %v: r%d (r0: none came)", version, readBackTime, read)
	if read < version {
		return broken, nil
	}
	return held, nil
}
