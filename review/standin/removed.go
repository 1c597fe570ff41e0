package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	standsStill  = 7200 * time.Millisecond // as on day trouble-1 of the site file
	afterWakeUp  = 12 * time.Second        // catch_up is 4 s
	successorIn  = time.Second             // replace_core: an empty one comes 1 s later
	readBackTime = 20 * time.Second        // longer than the bound recover, 15 s
	changesTotal = 5
)

// runRemoved lets one of three control machines stand still, waits until it has been back for three times the bound
// catch_up, and then replaces another one for good, as replace_core does. The newest acknowledged configuration is read
// back. Two control machines share a zone, as on the large site. TROUBLE=loss leaves only the
// standstill out.
func runRemoved(r *recorder, trouble bool) (int, error) {
	freeze := trouble && os.Getenv("TROUBLE") != "loss"
	s, err := newSite(r, 3, 0)
	if err != nil {
		return couldNot, err
	}
	defer s.close()
	first, sibling, other := s.cores[0], s.cores[1], s.cores[2]
	sibling.zone, sibling.region = first.zone, first.region
	if err := s.start(); err != nil {
		return couldNot, err
	}
	o := newOperator(s)
	routes := []object{route(readPath, "idempotent", "2000ms")}
	version := uint64(0)
	change := func() error {
		if o.order("config.replace", configuration(version+1, version, routes, 0, nil), time.Now().Add(20*time.Second), fmt.Sprint("r", version+1)) != http.StatusOK {
			return errors.New("a configuration was not accepted")
		}
		version++
		return nil
	}
	if err := change(); err != nil {
		return couldNot, err
	}
	time.Sleep(2 * contact)
	if freeze {
		r.addf("platform", "%s stands still for %v", sibling.name(), standsStill)
		sibling.signal(syscall.SIGSTOP)
	}
	for begin := time.Now(); time.Since(begin) < standsStill; time.Sleep(standsStill / changesTotal) {
		if err := change(); err != nil {
			return couldNot, err
		}
	}
	if freeze {
		r.addf("platform", "%s wakes up", sibling.name())
		sibling.signal(syscall.SIGCONT)
	}
	time.Sleep(afterWakeUp)
	if err := change(); err != nil {
		return couldNot, err
	}
	showVersions(o, "before the loss")
	if trouble {
		r.addf("platform", "%s is gone for good", first.name())
		first.kill()
		s.gone = append(s.gone, first)
		time.Sleep(successorIn)
		successor := &machine{site: s, role: "control", ip: first.ip + "0", zone: first.zone, region: first.region, memoryMB: first.memoryMB}
		s.cores = []*machine{sibling, other, successor} // the list of the platform names the machines that are there
		r.addf("platform", "%s takes its place, empty", successor.name())
		if err := successor.start(); err != nil {
			return couldNot, err
		}
	}
	read := uint64(0)
	for end := time.Now().Add(readBackTime); time.Now().Before(end) && read < version; time.Sleep(500 * time.Millisecond) {
		if v := showVersions(o, "read back"); v > 0 {
			read = v
		}
	}
	r.addf("check", "CONFIG: the newest acknowledged configuration is r%d; read back within %v: r%d (r0: none came)", version, readBackTime, read)
	if read != version {
		return broken, nil
	}
	return held, nil
}

// showVersions returns the newest version that a control machine reports, 0 for none.
func showVersions(o *operator, when string) uint64 {
	newest := uint64(0)
	for _, m := range o.site.cores {
		version, status := o.readVersion(m.ip)
		o.site.record.addf("operator", "config.get %s at %s: %d %s", when, m.ip, status, version)
		newest = max(newest, numberOf(version))
	}
	return newest
}
