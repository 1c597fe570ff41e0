package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	freezeTime    = 7 * time.Second         // at most 7.2 s in the site file
	betweenOrders = 2800 * time.Millisecond // 4.82 s - 2 s, as on day trouble-3 of the site file
	rolloutTime   = "15s"
	killedFor     = time.Second
)

// runStale orders a rollout while one control machine stands still, repeats the order at another machine, and orders a
// later rollout of the service. After the machine has woken up, all processes are killed and the newest acknowledged
// order is read back. Without trouble no machine stands still.
func runStale(r *recorder, trouble bool) (int, error) {
	s, err := newSite(r, 4, 4)
	if err != nil {
		return couldNot, err
	}
	defer s.close()
	if err := s.start(); err != nil {
		return couldNot, err
	}
	for i, version := range []string{"v1", "v1", "v2", "v3"} {
		b, err := startBackend(s.sides[i], version, func(string) time.Duration { return 20 * time.Millisecond })
		if err != nil {
			return couldNot, err
		}
		defer b.close()
	}
	o := newOperator(s)
	routes := []object{route(readPath, "idempotent", "2000ms"), route(writePath, "non_idempotent", "2000ms")}
	if o.order("config.replace", configuration(1, 0, routes, 0, nil), time.Now().Add(20*time.Second), "r1") != http.StatusOK {
		return couldNot, errors.New("the first configuration was not accepted")
	}
	for _, m := range s.sides {
		if !awaitReady(m, 20*time.Second) {
			return couldNot, errors.New("a node is not ready")
		}
	}
	time.Sleep(contact)
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 4 {
		k := &keptClient{record: r, machine: s.sides[i%2], name: fmt.Sprint("client-", i), path: readPath + "page", method: "GET"}
		clients.Go(func() { k.run(done) })
	}
	defer clients.Wait()
	defer close(done)
	frozen := s.cores[3]
	begin := time.Now()
	if trouble {
		r.addf("platform", "%s stands still", frozen.name())
		frozen.signal(syscall.SIGSTOP)
	}
	o.next = 3
	if err := startRollout(o, "v2"); err != nil {
		return couldNot, err
	}
	time.Sleep(betweenOrders)
	o.next = 0
	if err := startRollout(o, "v3"); err != nil {
		return couldNot, err
	}
	showRollout(o, "after the ack of v3")
	time.Sleep(time.Until(begin.Add(freezeTime)))
	if trouble {
		r.addf("platform", "%s wakes up", frozen.name())
		frozen.signal(syscall.SIGCONT)
	}
	time.Sleep(contact)
	showRollout(o, "before the final fault")
	if trouble {
		r.add("platform", "all processes of the core are killed")
		for _, m := range s.cores {
			m.kill()
		}
		time.Sleep(killedFor)
		for _, m := range s.cores {
			if err := m.start(); err != nil {
				return couldNot, err
			}
		}
	}
	target := ""
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end) && target == ""; time.Sleep(100 * time.Millisecond) {
		target = showRollout(o, "read back")
	}
	if target == "" {
		return couldNot, errors.New("no rollout was read back")
	}
	r.addf("check", "LOST: the newest acknowledged rollout is v3, read back is %s", target)
	if target != "v3" {
		return broken, nil
	}
	return held, nil
}

// startRollout orders a rollout as a sound operator does, for at most the bound ack.
func startRollout(o *operator, version string) error {
	body, err := json.Marshal(object{"service": serviceName, "target_version": version, "duration": rolloutTime})
	if err != nil {
		return err
	}
	if status := o.order("rollouts.start", body, time.Now().Add(4*time.Second), version); status != http.StatusOK {
		return fmt.Errorf("the rollout of %s was not acknowledged: %d", version, status)
	}
	return nil
}

// showRollout returns the target version that the first control machine to answer reports, or "".
func showRollout(o *operator, when string) string {
	for _, m := range o.site.cores {
		status, body := o.call(m.ip, "rollouts.get", serviceName, nil)
		var out struct {
			State         string `json:"state"`
			TargetVersion string `json:"target_version"`
		}
		if status == http.StatusOK && json.Unmarshal(body, &out) == nil {
			o.site.record.addf("operator", "rollouts.get %s at %s: %s of %s", when, m.ip, out.State, out.TargetVersion)
			return out.TargetVersion
		}
	}
	return ""
}
