package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Times of the case of a group that goes back to an older state.
const (
	freezeAfter  = 1500 * time.Millisecond // from the loss of a voter until the standby stands still
	changeWithin = 4 * time.Second         // the same until the group does without the voter
	settleTime   = 200 * time.Millisecond  // in which the change of the group is committed
	offFor       = time.Second             // from the final fault until the first hosts are back
	standbyLate  = 2 * time.Second         // how much later the former standby is back
	readStale    = 20 * time.Second        // longer than standbyLate and the bound recover
)

// Lines in the logs of control hosts.
const (
	logJoined   = `event="joined the control group"`
	logLeads    = "role=leader"
	logFollows  = "role=follower"
	logDemotion = `event="control group changes" demoted=`
)

// runStaleGroup loses one voter for good, and another one just as a standby that stood still takes the place of the first. Further
// changes are acknowledged by the two hosts that are left. Then the leader loses its disk while the others lose power. No host may
// answer with an older configuration than the newest acknowledged one.
func runStaleGroup(s *site, trouble bool) error {
	if err := s.start(1); err != nil {
		return err
	}
	standby, err := s.addStandby()
	if err != nil {
		return err
	}
	acknowledged, err := s.change(3, 0, 2)
	if err != nil {
		return err
	}
	if !trouble {
		acknowledged, err = s.change(acknowledged+2, acknowledged, 2)
		if err != nil {
			return err
		}
		return s.readAll(acknowledged, s.hosts)
	}
	leader, others, err := s.voters()
	if err != nil {
		return err
	}
	lost, behind := others[0], others[1]
	if err := s.replaceVoter(leader, lost, behind, standby); err != nil {
		return err
	}
	if acknowledged, err = s.change(acknowledged+2, acknowledged, 3, leader, standby); err != nil {
		return err
	}
	for _, h := range []*host{leader, standby} {
		h.kill()
	}
	if err := os.RemoveAll(leader.dataDir()); err != nil {
		return err
	}
	s.record.log("platform: all control hosts are without power; %s has lost its disk", leader.name)
	time.Sleep(offFor)
	for _, h := range []*host{behind, leader, lost} {
		if err := h.start(false); err != nil {
			return err
		}
	}
	time.AfterFunc(standbyLate, func() {
		if err := standby.start(false); err != nil {
			s.record.log("platform: %v", err)
		}
	})
	return s.readAll(acknowledged, s.hosts)
}

// addStandby starts a fourth control host and waits until it is a member.
func (s *site) addStandby() (*host, error) {
	h := &host{site: s, name: "core-4", ip: s.ip(controlHosts), zone: controlHosts, control: true}
	s.hosts = append(s.hosts, h)
	if err := h.start(true); err != nil {
		return nil, err
	}
	return h, h.awaitLine(logJoined, 10*time.Second)
}

// awaitLine waits until the output of the host contains a text.
func (h *host) awaitLine(text string, within time.Duration) error {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if b, err := os.ReadFile(h.logPath()); err == nil && strings.Contains(string(b), text) {
			return nil
		}
	}
	return fmt.Errorf("%s has not logged %s", h.name, text)
}

// voters returns the leader among the first control hosts and the others.
func (s *site) voters() (leader *host, others []*host, err error) {
	for _, h := range s.hosts[:controlHosts] {
		b, err := os.ReadFile(h.logPath())
		if err != nil {
			return nil, nil, err
		}
		if strings.LastIndex(string(b), logLeads) > strings.LastIndex(string(b), logFollows) {
			leader = h
		} else {
			others = append(others, h)
		}
	}
	if leader == nil || len(others) != controlHosts-1 {
		return nil, nil, errors.New("there is no leader")
	}
	s.record.log("platform: %s leads", leader.name)
	return leader, others, nil
}

// replaceVoter loses a voter, lets the standby stand still until the leader has given up the voter, and loses another
// voter just as the standby wakes up.
func (s *site) replaceVoter(leader, lost, behind, standby *host) error {
	lost.kill()
	time.Sleep(freezeAfter)
	s.record.log("platform: %s stands still", standby.name)
	if err := standby.process.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	err := leader.awaitLine(logDemotion+lost.address(offsetRange), changeWithin)
	time.Sleep(settleTime)
	behind.kill()
	s.record.log("platform: %s wakes up", standby.name)
	return errors.Join(err, standby.process.signal(syscall.SIGCONT))
}

// change sends a number of configurations, one after the other, to some of the control hosts, by default the first ones. It returns the
// version of the last one, which was acknowledged.
func (s *site) change(number, base uint64, count int, hosts ...*host) (uint64, error) {
	if len(hosts) == 0 {
		hosts = s.hosts[:controlHosts]
	}
	for range count {
		b, err := json.Marshal(largePlan(number, base, 1))
		if err != nil {
			return 0, err
		}
		if err := s.replace(number, b, hosts); err != nil {
			return 0, err
		}
		base, number = number, number+2
	}
	return base, nil
}

// readAll reads the configuration from all hosts for a time. All of it must be the acknowledged version, and at the end there must be
// one.
func (s *site) readAll(acknowledged uint64, hosts []*host) error {
	want := "r" + strconv.FormatUint(acknowledged, 10)
	var old []string
	answered := false
	for begin := time.Now(); time.Since(begin) < readStale; time.Sleep(watchInterval * 40) {
		for _, h := range hosts {
			status, b := postForBody(h.address(offsetControl), "config.get", "", nil, callTimeout)
			var plan struct {
				Version string `json:"version"`
			}
			_ = json.Unmarshal(b, &plan)
			s.record.log("operator: read from %s, answered with %d: version %q", h.name, status, plan.Version)
			if status != http.StatusOK {
				continue
			}
			answered = plan.Version == want
			if !answered && !slices.Contains(old, h.name+" "+plan.Version) {
				old = append(old, h.name+" "+plan.Version)
			}
		}
	}
	switch {
	case len(old) > 0:
		return fmt.Errorf("CONFIG: version %s was acknowledged, and older ones are read back: %s: %w", want, strings.Join(old, ", "), errBroken)
	case !answered:
		return fmt.Errorf("LOST: version %s was acknowledged, and no host returns it: %w", want, errBroken)
	}
	return nil
}
