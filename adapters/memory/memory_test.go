package memory

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// fixture is an account whose evicted holders are recorded.
type fixture struct {
	*Account
	evicted []string
}

// holder adds a holder that has been without a byte for a time.
func (f *fixture) holder(name, source, domain string, held int64, s State, silent time.Duration) *Holder {
	h := f.NewHolder(source, domain, start, func() { f.evicted = append(f.evicted, name) })
	if !h.Add(held, true, start) {
		panic("no room for " + name)
	}
	h.SetState(s, start.Add(-silent))
	return h
}

// Guards against a holder that gets room that is not there, and against large messages that take what is kept for ordinary ones.
func TestLimits(t *testing.T) {
	is := is.New(t)
	a := NewAccount(100, 80)
	h, o := a.NewHolder("s", "", start, nil), a.NewHolder("t", "", start, nil)
	is.True(!h.Add(81, true, start))
	is.True(h.Add(80, true, start))
	is.True(!o.Add(1, true, start))
	is.True(o.Add(20, false, start))
	is.True(!o.Add(1, false, start))
	h.Release()
	h.Release()
	is.True(o.Add(80, true, start))
	held, refused, _ := a.Counts()
	is.Equal(held, int64(100))
	is.Equal(refused, uint64(3))
}

// Guards against the close of a connection that sends, or whose request runs, instead of the one that waited longest.
func TestLongestSilentGivesWayFirst(t *testing.T) {
	is := is.New(t)
	f := &fixture{Account: NewAccount(100, 100)}
	f.holder("busy", "s", "", 20, Busy, time.Hour)
	f.holder("sending", "s", "", 20, Waiting, minSilence-1)
	f.holder("silent", "s", "", 20, Waiting, 2*time.Second)
	longest := f.holder("longest", "s", "", 20, Waiting, 3*time.Second)
	h := f.holder("new", "s", "", 20, Waiting, 0)
	is.True(!h.Add(20, true, start))
	is.Equal(f.evicted, []string{"longest"})
	is.True(!h.Add(20, true, start)) // the one that gives way still holds its memory
	is.Equal(f.evicted, []string{"longest"})
	_, pending := f.Released()
	is.True(pending)
	longest.Release()
	is.True(h.Add(20, true, start))
	is.True(!h.Add(30, true, start)) // too few give way, so none does
	is.Equal(f.evicted, []string{"longest"})
}

// Guards against connections that all close for lack of memory, although the room of the first one to close is enough.
func TestClosingHolderIsWaitedFor(t *testing.T) {
	is := is.New(t)
	f := &fixture{Account: NewAccount(100, 100)}
	closing := f.holder("closing", "s", "", 60, Busy, 0)
	h := f.holder("new", "s", "", 30, Waiting, 0)
	is.True(!h.Add(20, false, start))
	_, pending := f.Released()
	is.True(!pending)
	closing.MarkClosing()
	is.True(!h.Add(20, false, start))
	_, pending = f.Released()
	is.True(pending)
	_, refused, _ := f.Counts()
	is.Equal(refused, uint64(1))
}

// Guards against a user that takes the share of another one of its kind, whichever kind that is.
func TestShares(t *testing.T) {
	set := map[string]func(h *Holder, name string){
		"source": func(h *Holder, name string) { h.users[Source] = name },
		"domain": func(h *Holder, name string) { h.users[FailureDomain] = name },
		"organisation": func(h *Holder, name string) {
			h.SetOrganisation(name)
		},
	}
	for kind, set := range set {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			f := &fixture{Account: NewAccount(100, 100)}
			add := func(holder, name string, held int64, silent time.Duration) *Holder {
				h := f.NewHolder("", "", start, func() { f.evicted = append(f.evicted, holder) })
				set(h, name)
				is.True(h.Add(held, true, start))
				h.SetState(Waiting, start.Add(-silent))
				return h
			}
			add("small", "small", 20, time.Hour)
			add("sending", "big", 80, 0)
			over := f.NewHolder("", "", start, nil)
			set(over, "big")
			is.True(!over.Add(10, true, start)) // above its share, and no silent connection of its own
			is.Equal(len(f.evicted), 0)
			under := f.NewHolder("", "", start, nil)
			set(under, "small")
			is.True(!under.Add(30, true, start)) // the share of both is 50
			is.Equal(f.evicted, []string{"sending"})
		})
	}
}

// Guards against the close of a connection in use while an idle one takes a descriptor.
func TestIdleSlotGivesWayFirst(t *testing.T) {
	is := is.New(t)
	f := &fixture{Account: NewSlots(2)}
	f.holder("waiting", "s", "", 1, Waiting, time.Hour)
	f.holder("idle", "s", "", 1, Idle, time.Second)
	h := f.NewHolder("s", "", start, nil)
	is.True(!h.Add(1, false, start))
	is.Equal(f.evicted, []string{"idle"})
}

// Guards against a sum that differs from what the holders hold, or that exceeds a limit, after any sequence of calls.
func TestSumsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAccount(1000, 800)
		var holders []*Holder
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			source := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "source")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				holders = append(holders, a.NewHolder(source, "d", start, func() {}))
			case 1, 2, 3:
				if len(holders) > 0 {
					h := rapid.SampledFrom(holders).Draw(t, "holder")
					h.SetOrganisation(source)
					h.SetState(State(rapid.IntRange(0, 2).Draw(t, "state")), start.Add(-time.Duration(rapid.IntRange(0, 1000).Draw(t, "silent"))*time.Millisecond))
					h.Add(int64(rapid.IntRange(1, 500).Draw(t, "n")), rapid.Bool().Draw(t, "large"), start)
				}
			case 4:
				if len(holders) > 0 {
					i := rapid.IntRange(0, len(holders)-1).Draw(t, "released")
					holders[i].Release()
					holders = slices.Delete(holders, i, i+1)
				}
			}
			var held, large int64
			for _, h := range holders {
				held, large = held+h.held, large+h.heldLarge
			}
			if held != a.held || large != a.heldLarge || held > a.limit || large > a.large {
				t.Fatalf("held %d of %d, large %d of %d", held, a.held, large, a.heldLarge)
			}
			for _, u := range a.Top(10) {
				if u.Held <= 0 || u.Name == "" {
					t.Fatalf("%+v", u)
				}
			}
		}
		for _, h := range holders {
			h.Release()
		}
		if a.held != 0 || a.heldLarge != 0 || len(a.byUser) > 0 || len(a.holders) > 0 {
			t.Fatalf("left: %d, %d, %v", a.held, a.heldLarge, a.byUser)
		}
	})
}

// Guards against requests that are refused although connections to other processes are idle, against clients that close such a
// connection while others have been silent for longer, and against one that is closed while it carries a request.
func TestSpareConnectionsGiveWay(t *testing.T) {
	is := is.New(t)
	f := &fixture{Account: NewAccount(100, 90)}
	spare := func(name string, s State) {
		h := f.NewHolder("", "", start, func() { f.evicted = append(f.evicted, name) })
		is.True(h.Add(10, false, start))
		h.SetState(s, start)
	}
	spare("in use", Busy)
	spare("spare", Spare)
	spare("other spare", Spare)
	f.holder("silent", "s", "", 40, Waiting, time.Hour)
	f.holder("sending", "t", "", 30, Waiting, 0)
	client := f.NewHolder("u", "", start, nil)
	is.True(!client.Add(30, false, start))
	is.Equal(f.evicted, []string{"silent"})
	own := f.NewHolder("", "", start, nil)
	is.True(!own.Add(55, false, start)) // 40 come from the silent client
	slices.Sort(f.evicted)
	is.Equal(f.evicted, []string{"other spare", "silent", "spare"})
	is.True(!own.Add(65, false, start)) // what is in use does not give way
	is.Equal(len(f.evicted), 3)
}

// Guards against a large message that closes spare connections although they hold none of what is missing, and against one that is
// refused although their memory is.
func TestSpareConnectionsAndLargeMessages(t *testing.T) {
	is := is.New(t)
	f := &fixture{Account: NewAccount(100, 80)}
	f.holder("large", "s", "", 70, Busy, 0)
	spare := f.NewHolder("", "", start, func() { f.evicted = append(f.evicted, "spare") })
	is.True(spare.Add(25, false, start))
	spare.SetState(Spare, start.Add(-time.Hour))
	h := f.NewHolder("s", "", start, nil)
	is.True(!h.Add(15, true, start)) // 5 more than large messages may have
	is.Equal(len(f.evicted), 0)
	is.True(!h.Add(10, true, start)) // 5 more than the account has
	is.Equal(f.evicted, []string{"spare"})
	spare.Release()
	is.True(h.Add(10, true, start))
}
