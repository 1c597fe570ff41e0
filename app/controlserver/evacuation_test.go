package controlserver_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/controlclient"
	"github.com/rattanfield/rattanfield/platform"
	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// orderTime is how long an operator sends an order again, and askTime how long it waits for an answer.
const (
	orderTime = 4 * time.Second
	askTime   = time.Second
)

// order sends an order to one host after the other, beginning with the given one, until it is acknowledged. It returns the
// time that this took.
func order(t *testing.T, addresses []string, first int, domain string, active bool) time.Duration {
	t.Helper()
	start, statuses := time.Now(), []int(nil)
	for i := first; time.Since(start) < orderTime; i++ {
		status := platformtest.ChangeEvacuation(addresses[i%len(addresses)], domain, active, min(askTime, orderTime-time.Since(start)))
		if status == fasthttp.StatusOK {
			return time.Since(start)
		}
		statuses = append(statuses, status)
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("evacuation of %s, %v: not acknowledged: %v", domain, active, statuses)
	return 0
}

// Guards against orders of evacuations that are not acknowledged in time, that are lost with the leader that took them, or
// that nodes do not hear of. Each order is sent to a host that follows while the leader is cut off, at several moments.
func TestEvacuationOrdersSurviveTheLeader(t *testing.T) {
	is := is.New(t)
	a := addresses(3)
	hosts, operators := make([]*controlHost, 3), make([]string, 3)
	for i := range hosts {
		hosts[i] = startControl(t, a[i], t.TempDir(), fmt.Sprint("d", i), a, a)
		s := &platform.Settings{IP: fmt.Sprint("10.0.0.", i+1), PeerPort: 7, FailureDomains: []string{"d0", "d1", "d2"}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		server := &fasthttp.Server{Handler: platform.NewControlAPI(s, hosts[i].host, nil, log.NewNopLogger()).Handle}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Shutdown() })
		operators[i] = l.Addr().String()
	}
	eventually(t, "three voters", func() bool { return voters(hosts[0].host) == 3 })
	submit(t, hosts[0].host, 5, 0)
	client := rpc.NewClient(rpc.Options{})
	n := controlclient.New(controlclient.Options{Node: "127.0.0.1:1", FailureDomain: "d1", Region: "r", Seeds: func() []string { return a }}, client, log.NewNopLogger())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(t.Context())
	}()
	t.Cleanup(func() {
		<-done
		client.Close()
	})
	eventually(t, "the plan at the node", func() bool { return n.View().Plan != nil })
	t.Logf("start without a fault: acknowledged after %v", order(t, operators, 0, "d1", true))
	for i, pause := range []time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond} {
		eventually(t, "a leader that all know", func() bool {
			leader, _ := hosts[0].host.Leader()
			for _, h := range hosts {
				if id, _ := h.host.Leader(); id != leader || id == "" || h.host.ConfirmedAge() > time.Second {
					return false
				}
			}
			return true
		})
		leader := 0
		for k, h := range hosts {
			if h.host.IsLeader() {
				leader = k
			}
		}
		active := i%2 == 1
		isolatedHosts.Store(a[leader], true)
		time.Sleep(pause)
		took := order(t, operators, leader+1, "d1", active)
		t.Logf("active %v, %v after the loss of the leader: acknowledged after %v", active, pause, took)
		acknowledged := time.Now()
		eventually(t, "the order at the node", func() bool { return n.View().Evacuated["d1"] == active })
		t.Logf("in force at the node after %v", time.Since(acknowledged))
		is.True(time.Since(acknowledged) < 5*time.Second) // the bound of an evacuation
		// Sent again, also to the host that is back, it is acknowledged and changes nothing.
		isolatedHosts.Delete(a[leader])
		changes := n.View().ChangeCount
		order(t, operators, leader, "d1", active)
		eventually(t, "the order at all hosts", func() bool {
			for _, h := range hosts {
				if h.host.State().PlanChanges != changes {
					return false
				}
			}
			return true
		})
		is.Equal(n.View().Evacuated["d1"], active)
	}
}
