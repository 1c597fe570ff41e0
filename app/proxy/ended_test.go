package proxy

import (
	"strings"
	"sync"
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
			x := &meshhttp.Exchange{Received: time.Now()}
			x.Request.Header.SetHost("h")
			x.Request.Header.SetRequestURI("/read/1")
			for name, value := range map[string]string{testHeaders.ID: "id-1", hopService: "a", hopRemainingMs: "1000", hopPriority: "1"} {
				x.Request.Header.Set(name, value)
			}
			g.Handle(t.Context(), x)
			is.Equal(string(x.Response.Header.Peek(hopRan)), ranUnknown)
			is.Equal(string(x.Response.Header.Peek(hopReason)), c.reason)
			is.Equal(strings.Contains(out.String(), `event="upstream ended"`), c.logged)
			is.Equal(strings.Contains(out.String(), "requests=id-1/"), c.logged)
		})
	}
}
