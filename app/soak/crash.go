package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

const (
	// crashPrefix begins the last part of the paths of crashing requests.
	crashPrefix   = "crash-"
	crashInterval = 250 * time.Millisecond // between two attempts of a crashing request
	// contactTime is the time from the third crash until no node may send the request on, and maxLateRuns the number of
	// runs that are allowed later.
	contactTime = 3 * time.Second
	maxLateRuns = 3
	// Bounds of the time between two crashing requests, and for which one comes again.
	minCrashGap  = 8 * time.Second
	maxCrashGap  = 16 * time.Second
	crashingTime = contactTime + 3*time.Second
)

func isCrashing(path string) bool { return strings.Contains(path, crashPrefix) }

// crashes records when crashing requests began to run.
type crashes struct {
	mu sync.Mutex
	at map[string][]time.Time // by path
}

func (c *crashes) record(path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at[path] = append(c.at[path], time.Now())
}

// violations names the requests that ran too often after they had crashed three upstreams, and the nodes whose upstreams received them.
func (c *crashes) violations(of clock, arrivals []arrival) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for path, at := range c.at {
		late := 0
		for _, t := range at {
			if len(at) > 3 && t.After(at[2].Add(contactTime)) {
				late++
			}
		}
		if late > maxLateRuns {
			var got []arrival
			for _, a := range arrivals {
				if a.path == path {
					got = append(got, a)
				}
			}
			out = append(out, fmt.Sprintf("request %s ran %d times, %d of them later than %v after it had crashed three upstreams, the last time %s; arrivals by node: %v",
				path, len(at), late, contactTime, of.at(at[len(at)-1]), nodesOf(got)))
		}
	}
	return out
}

// sendCrashing sends a crashing request to one random node after the other. Each has a path of its own.
func (r *run) sendCrashing(e Event) {
	path := fmt.Sprint(platformtest.ReadPath, crashPrefix, e.At.Milliseconds())
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(e.At)))
	var sent sync.WaitGroup
	for i, end := 0, time.Now().Add(e.Length); time.Now().Before(end); i++ {
		node, id := random.IntN(len(r.nodes)), fmt.Sprintf("r-%s%v-%d", crashPrefix, e.At, i)
		c := platformtest.NewClient(platformtest.EntryAddress(r.nodes[node].host.IP))
		sent.Go(func() {
			at := time.Now()
			a := platformtest.SendRequest(c, path, id, clientTimeout)
			r.observations.recordSending(sending{id: id, node: node, at: at, ended: time.Now(), status: a.Status})
		})
		time.Sleep(crashInterval)
	}
	sent.Wait()
}

// randomCrashes returns the crashing requests of a seed.
func randomCrashes(seed uint64, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, 13))
	var events []Event
	for at := time.Duration(0); ; {
		at += (minCrashGap + time.Duration(random.Int64N(int64(maxCrashGap-minCrashGap)))).Round(time.Millisecond)
		if at >= length {
			return events
		}
		events = append(events, Event{At: at, Kind: Crash, Length: crashingTime})
	}
}
