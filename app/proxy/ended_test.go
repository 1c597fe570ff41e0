package proxy

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// lines collects log lines.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// breakingUpstream accepts connections and breaks them off when a request arrives; it first closes its listener
// if it ends.
func breakingUpstream(t *testing.T, ends bool) string {
	l := listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				var b [4096]byte
				if n, _ := c.Read(b[:]); n > 0 && ends {
					_ = l.Close()
				}
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// gateExchange returns a request of an entry to a gate.
func gateExchange(id string) *meshhttp.Exchange {
	x := &meshhttp.Exchange{Received: time.Now()}
	x.Request.Header.SetHost("h")
	x.Request.Header.SetRequestURI("/read/1")
	for name, value := range map[string]string{testHeaders.ID: id, hopService: "a", hopRemainingMs: "2000", hopPriority: "1"} {
		x.Request.Header.Set(name, value)
	}
	return x
}

// Guards against lost answers and reset connections that are taken for the end of an upstream, and against ends that no log
// line tells from them.
func TestEndOfUpstreamIsTold(t *testing.T) {
	for _, c := range []struct {
		name    string
		ends    bool
		leaving bool
		reason  string
		logged  bool
	}{
		{"the process ended", true, false, reasonUpstreamEnded, true},
		{"the connection was reset", false, false, reasonLost, false},
		{"the upstream had announced its leave", true, true, reasonLost, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var out lines
			m, address := newMesh(), breakingUpstream(t, c.ends)
			g := NewGate(GateOptions{Headers: testHeaders, DrainBound: 10 * time.Second, LostAfter: testLost, Publish: func(*pb.Announcement) {}},
				m, newTestPool(), NewMetrics(metrics.NewSet()), log.NewLogfmtLogger(&out))
			a := &pb.Announcement{Instance: "i", Service: "a", Address: address, Version: "v1", Slots: 2, State: pb.UpstreamState_UPSTREAM_STATE_SERVING, Seq: 1, BornUnixMs: 1}
			g.Announce(a)
			if c.leaving {
				a.State, a.Seq = pb.UpstreamState_UPSTREAM_STATE_LEAVING, 2
				g.Announce(a)
			}
			x := gateExchange("id-1")
			g.Handle(t.Context(), x)
			is.Equal(string(x.Response.Header.Peek(hopRan)), ranUnknown)
			is.Equal(string(x.Response.Header.Peek(hopReason)), c.reason)
			is.Equal(strings.Contains(out.String(), `event="upstream ended"`), c.logged)
			is.Equal(strings.Contains(out.String(), "requests=id-1/"), c.logged)
		})
	}
}

// Guards against one connection per lost request: an upstream that resets connections because it is full would get more of
// them.
func TestLostRequestsShareOneCheck(t *testing.T) {
	is := is.New(t)
	const requests = 8
	l := listen(t)
	var accepted, arrived atomic.Int32
	breakOff := make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				var b [4096]byte
				if n, _ := c.Read(b[:]); n == 0 {
					return // a connection of a check
				}
				if arrived.Add(1) == 1 {
					time.AfterFunc(200*time.Millisecond, func() { close(breakOff) })
				}
				<-breakOff
				_ = c.Close()
			}()
		}
	}()
	g := NewGate(GateOptions{Headers: testHeaders, DrainBound: testDrain, LostAfter: testLost, Publish: func(*pb.Announcement) {}},
		newMesh(), newTestPool(), NewMetrics(metrics.NewSet()), log.NewNopLogger())
	g.Announce(&pb.Announcement{Instance: "i", Service: "a", Address: l.Addr().String(), Version: "v1", Slots: 8 * requests, State: pb.UpstreamState_UPSTREAM_STATE_SERVING, Seq: 1, BornUnixMs: 1})
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			x := gateExchange(fmt.Sprint("id-", i))
			g.Handle(t.Context(), x)
		})
	}
	group.Wait()
	checks := accepted.Load() - arrived.Load()
	t.Logf("%d requests lost, %d checks", arrived.Load(), checks)
	is.True(checks > 0)
	is.True(checks <= max(1, arrived.Load()/2)) // some may be lost after the first check has ended
}
