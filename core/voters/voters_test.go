package voters

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testSettings = Settings{MaxVoters: 7, ReplaceAfter: 2 * time.Second, ForgetAfter: 10 * time.Second, GiveUpAfter: time.Minute}

func voter(id, domain string) Host {
	return Host{ID: id, FailureDomain: domain, Region: "r", Voter: true, CaughtUp: true}
}

func standby(id, domain string) Host {
	return Host{ID: id, FailureDomain: domain, Region: "r", CaughtUp: true}
}

// Guards against a voter that loses its vote by standing still although nobody takes its place.
func TestSilentVoterWithoutSuccessorKeepsItsVote(t *testing.T) {
	is := is.New(t)
	silent := voter("b", "1")
	silent.Silent = 30 * time.Second
	is.True(Next("a", []Host{voter("a", "1"), silent, voter("c", "2")}, testSettings).None())
}

// Guards against a single voter left by two losses, whose disk alone would hold what it accepts.
func TestSecondLostVoterKeepsItsVoteUntilTheFirstIsReplaced(t *testing.T) {
	is := is.New(t)
	full := voter("b", "2")
	full.Behind = 3 * time.Second
	hosts := []Host{voter("a", "1"), full, standby("c", "3"), standby("d", "4")}
	is.Equal(Next("a", hosts, testSettings), Change{Promote: []string{"c", "d"}})
	hosts[2].Voter = true
	is.Equal(Next("a", hosts, testSettings), Change{Demote: "b", Promote: []string{"d"}})
}

func TestChanges(t *testing.T) {
	silent := func(h Host, d time.Duration) Host { h.Silent = d; return h }
	leaving := func(h Host) Host { h.Leaving = true; return h }
	joining := func(h Host) Host { h.Joining = true; return h }
	behind := func(h Host) Host { h.Behind = 3 * time.Second; return h }
	lagging := func(h Host) Host { h.CaughtUp = false; return h }
	for name, c := range map[string]struct {
		hosts []Host
		want  Change
	}{
		"a standby takes the place of a lost voter": {
			[]Host{voter("a", "1"), silent(voter("b", "2"), 3*time.Second), voter("c", "3"), standby("d", "4")},
			Change{Demote: "b", Promote: []string{"d"}},
		},
		"a short silence changes nothing": {
			[]Host{voter("a", "1"), silent(voter("b", "2"), time.Second), voter("c", "3"), standby("d", "4")}, Change{},
		},
		"a standby takes the place of a voter that cannot write": {
			[]Host{voter("a", "1"), behind(voter("b", "2")), voter("c", "3"), standby("d", "4")},
			Change{Demote: "b", Promote: []string{"d"}},
		},
		"a standby that has not caught up takes no place": {
			[]Host{voter("a", "1"), silent(voter("b", "2"), 3*time.Second), voter("c", "3"), lagging(standby("d", "4"))}, Change{},
		},
		"a voter that leaves stays until its successor votes": {
			[]Host{voter("a", "1"), leaving(voter("b", "2")), voter("c", "3"), standby("d", "4")}, Change{Promote: []string{"d"}},
		},
		"and still while it catches up": {
			[]Host{voter("a", "1"), leaving(voter("b", "2")), voter("c", "3"), joining(standby("d", "4"))}, Change{},
		},
		"and goes then": {
			[]Host{voter("a", "1"), leaving(voter("b", "2")), voter("c", "3"), voter("d", "4")}, Change{Demote: "b"},
		},
		"a joining host that is lost gets no vote": {
			[]Host{voter("a", "1"), voter("b", "2"), voter("c", "3"), silent(joining(standby("d", "4")), 3*time.Second), standby("e", "4")},
			Change{Demote: "d"},
		},
		"the group grows by two": {
			[]Host{voter("a", "1"), voter("b", "2"), voter("c", "3"), standby("d", "4"), standby("e", "5")},
			Change{Promote: []string{"d", "e"}},
		},
		"of four voters a lost one goes": {
			[]Host{voter("a", "1"), voter("b", "2"), voter("c", "3"), silent(voter("d", "4"), 3*time.Second)}, Change{Demote: "d"},
		},
		"a standby spreads the voters": {
			[]Host{voter("a", "1"), voter("b", "1"), voter("c", "2"), standby("d", "3")}, Change{Promote: []string{"d"}},
		},
		"the second voter of a failure domain goes": {
			[]Host{voter("a", "1"), voter("b", "1"), voter("c", "2"), voter("d", "3")}, Change{Demote: "b"},
		},
		"a host without a vote that is gone is removed": {
			[]Host{voter("a", "1"), voter("b", "2"), voter("c", "3"), silent(standby("d", "4"), 11*time.Second)}, Change{Remove: "d"},
		},
		"two voters that are gone for good leave five": {
			[]Host{
				voter("a", "1"), voter("b", "2"), voter("c", "3"), voter("d", "4"), voter("e", "5"),
				silent(voter("f", "6"), 2*time.Minute), silent(voter("g", "7"), 2*time.Minute),
			},
			Change{Demote: "f"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Next("a", c.hosts, testSettings), c.want)
		})
	}
}

// simHost is a host of a simulated group.
type simHost struct {
	Host
	up         bool
	caughtUpAt time.Duration // when the log of an empty host is complete
	heard      time.Duration // last answer to the leader
}

// sim plays a control group on which changes take effect only with a majority of the voters after the change.
type sim struct {
	t       *rapid.T
	now     time.Duration
	hosts   []*simHost
	leader  *simHost
	electAt time.Duration
	next    int
}

const (
	simStep     = 100 * time.Millisecond
	simElection = time.Second
	simCatchUp  = 4 * time.Second // time after which a host that came back counts as there
)

func (s *sim) add(domain int) *simHost {
	s.next++
	h := &simHost{
		Host: Host{ID: fmt.Sprintf("h%02d", s.next), FailureDomain: fmt.Sprint(domain), Region: fmt.Sprint(domain % 3)},
		up:   true, caughtUpAt: s.now + 1500*time.Millisecond, heard: s.now,
	}
	s.hosts = append(s.hosts, h)
	return h
}

// leave announces that a host stops. A leader passes its leadership on first.
func (s *sim) leave(h *simHost) {
	h.Leaving = true
	for _, o := range s.hosts {
		if s.leader == h && o != h && o.up && o.Voter {
			s.leader = o
		}
	}
}

// voters returns the numbers of voters and of those that are up.
func (s *sim) voters() (all, up int) {
	for _, h := range s.hosts {
		if h.Voter {
			all++
			if h.up {
				up++
			}
		}
	}
	return all, up
}

// run advances the time and checks at each step that a majority of the voters is up.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += simStep {
		all, up := s.voters()
		if up <= all/2 {
			s.t.Fatalf("%v: %d of %d voters are up: %s", s.now, up, all, s)
		}
		s.step()
	}
}

func (s *sim) step() {
	if s.leader == nil || !s.leader.up || !s.leader.Voter {
		if s.leader != nil {
			s.leader, s.electAt = nil, s.now+simElection
		}
		if s.now < s.electAt {
			return
		}
		for _, h := range s.hosts {
			if h.up && h.Voter {
				s.leader = h
			}
			h.heard = s.now - simElection
		}
	}
	var view []Host
	for _, h := range s.hosts {
		if h.up {
			h.heard = s.now
			h.CaughtUp = s.now >= h.caughtUpAt
		}
		if h.Joining && h.up && h.CaughtUp {
			h.Voter, h.Joining = true, false
			s.checkMajority("promoted " + h.ID)
			return
		}
		v := h.Host
		v.Silent = s.now - h.heard
		view = append(view, v)
	}
	c := Next(s.leader.ID, view, testSettings)
	for _, h := range s.hosts {
		switch {
		case h.ID == c.Demote:
			h.Voter, h.Joining = false, false
		case slices.Contains(c.Promote, h.ID):
			h.Joining = true
		}
	}
	s.hosts = slices.DeleteFunc(s.hosts, func(h *simHost) bool { return h.ID == c.Remove })
	s.checkMajority(fmt.Sprintf("%+v", c))
}

// checkMajority verifies that a change can be committed.
func (s *sim) checkMajority(change string) {
	if all, up := s.voters(); up <= all/2 {
		s.t.Fatalf("%v: %s waits for a lost host: %d of %d voters are up: %s", s.now, change, up, all, s)
	}
}

func (s *sim) String() string {
	out := ""
	for _, h := range s.hosts {
		out += fmt.Sprintf("%s(domain %s, voter %v, joining %v, up %v) ", h.ID, h.FailureDomain, h.Voter, h.Joining, h.up)
	}
	return out
}

func (s *sim) upHosts() []*simHost {
	return slices.DeleteFunc(slices.Clone(s.hosts), func(h *simHost) bool { return !h.up })
}

// checkBearsLosses verifies that the group bears as many further losses as a group of the hosts that are up can.
func (s *sim) checkBearsLosses() {
	hosts := len(s.upHosts())
	all, up := s.voters()
	if bears, want := up-(all/2+1), (min(testSettings.MaxVoters, odd(hosts))-1)/2; bears < want {
		s.t.Fatalf("%v: %d of %d voters are up, which bears %d losses, want %d with %d hosts: %s", s.now, up, all, bears, want, hosts, s)
	}
}

// checkSettled verifies that the voters are as many as they can be, and that they are spread over the failure domains.
func (s *sim) checkSettled() {
	hosts := s.upHosts()
	all, up := s.voters()
	if want := min(testSettings.MaxVoters, odd(len(hosts))); all != want || up != want {
		s.t.Fatalf("%v: %d voters, %d of them up, want %d of %d hosts: %s", s.now, all, up, want, len(hosts), s)
	}
	perDomain, votersPerDomain := map[string]int{}, map[string]int{}
	for _, h := range hosts {
		perDomain[h.FailureDomain]++
		if h.Voter {
			votersPerDomain[h.FailureDomain]++
		}
	}
	for d, n := range votersPerDomain {
		for other, hosts := range perDomain {
			// The leader keeps its vote, so its failure domain may have one more.
			if leads := s.leader.FailureDomain == d; !leads && n > votersPerDomain[other]+2 && votersPerDomain[other] < hosts {
				s.t.Fatalf("%v: %d voters in failure domain %s, %d in %s: %s", s.now, n, d, votersPerDomain[other], other, s)
			}
		}
	}
}

// Guards against groups that a series of losses and replacements, one host at a time, leaves without a majority,
// with fewer voters than there are hosts for, or with members that are gone.
func TestOneLossAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &sim{t: t, now: time.Minute}
		domains := rapid.IntRange(1, 7).Draw(t, "domains")
		size := rapid.IntRange(3, 16).Draw(t, "hosts")
		for i := range size {
			s.add(i % domains)
		}
		for i, h := range s.hosts {
			h.Voter = i < 3
			h.caughtUpAt = s.now
		}
		s.run(10 * time.Second)
		s.checkSettled()
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			hosts := s.upHosts()
			h := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			domain := int(h.FailureDomain[0] - '0')
			switch rapid.SampledFrom([]string{"freeze", "replace", "lose", "restart"}).Draw(t, "event") {
			case "freeze":
				h.up = false
				s.run(time.Duration(rapid.IntRange(1, 200).Draw(t, "tenths")) * simStep)
				h.up = true
				if !slices.Contains(s.hosts, h) { // removed; it joins again
					h.Voter, h.Joining = false, false
					s.hosts = append(s.hosts, h)
				}
			case "replace":
				s.add(domain)
				s.run(simCatchUp)
				s.leave(h)
				s.run(time.Second)
				h.up = false
				continue // the successor has had its time: the next loss may come at once
			case "lose":
				h.up = false
				s.run(time.Second)
				s.add(domain)
			case "restart":
				s.leave(h)
				s.run(time.Duration(rapid.IntRange(1, 10).Draw(t, "tenths")) * simStep)
				h.up = false
				s.run(time.Second)
				h.up, h.Leaving = true, false
			}
			s.run(simCatchUp)
			s.checkBearsLosses()
		}
		s.run(testSettings.GiveUpAfter + testSettings.ForgetAfter + 2*time.Second)
		s.checkSettled()
		if len(s.hosts) != size {
			t.Fatalf("%d members, want %d: %s", len(s.hosts), size, s)
		}
	})
}
