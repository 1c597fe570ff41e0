package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// idleRoutes and bigConfig are the routes of the site bentau-pier-grown and the largest big_config of its file.
	idleRoutes = 800
	bigConfig  = 1400
	bigConfigs = 3
	// operatorsAtOnce are the orders that may be in progress at once.
	operatorsAtOnce = 8
	// changesTime is how long the operator changes the configuration.
	changesTime = 106 * time.Second
	// orderTime is how long an operator tries to get a clear answer to an order.
	orderTime = 8 * time.Second
	// mostOrders bounds the orders, accepted or not.
	mostOrders = 6000
	// restartDelay is the pause after which the platform starts an ended process again.
	restartDelay = 300 * time.Millisecond
)

// memoryWatch stands in for the platform: it kills a process that uses more memory than its settings state, and starts it again.
type memoryWatch struct {
	c       *caseRun
	process *process
	ends    atomic.Int32
	peak    atomic.Int64
}

func (w *memoryWatch) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := w.process.residentBytes()
		w.peak.Store(max(w.peak.Load(), used))
		if used <= controlMemoryMB<<20 {
			continue
		}
		w.ends.Add(1)
		w.c.record("%s uses %d MB, its limit is %d MB: the platform kills it", w.process.name, used>>20, controlMemoryMB)
		w.process.signal(syscall.SIGKILL)
		<-w.process.ended
		time.Sleep(restartDelay)
		if err := w.process.start(); err != nil {
			w.c.record("%s does not start: %v", w.process.name, err)
			return
		}
	}
}

// manyChanges lets an operator change a configuration of some thousand routes again and again, without any disturbance of the
// control hosts. Without the trouble, the configuration does not grow.
func manyChanges(c *caseRun) (bool, error) {
	const controls = 4
	s, processes, err := controlSite(c, controls)
	if err != nil {
		return false, err
	}
	var watches []*memoryWatch
	for _, p := range processes {
		watches = append(watches, &memoryWatch{c: c, process: p})
	}
	addresses := s.controlAddresses()
	r := rand.New(rand.NewPCG(1, 2))
	var operators []*operator
	for range operatorsAtOnce {
		operators = append(operators, newOperator(addresses))
	}
	plan := &configuration{number: 2, services: []string{"huvo11a", "wuno96b"}}
	grow := func(n int) {
		for range n {
			plan.routes = append(plan.routes, idleRoute(r, "huvo11a"))
		}
	}
	grow(idleRoutes)
	if status, answer := operators[0].call("config.replace", plan.body(), 20*time.Second); status != http.StatusOK {
		return false, fmt.Errorf("the first configuration got %d: %s", status, answer)
	}
	for _, w := range watches {
		if err := w.process.clearFirstStart(); err != nil {
			return false, err
		}
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, w := range watches {
		group.Go(func() { w.run(stop) })
	}
	var accepted, lost, unclear atomic.Int32
	race := func() {
		plan.base = plan.number
		var winner atomic.Int32
		var pair sync.WaitGroup
		first := plan.number + 1
		for i, o := range operators {
			own := *plan
			own.number = first + i
			own.routes = slices.Clone(plan.routes)
			own.routes[r.IntN(len(own.routes))] = idleRoute(r, "huvo11a")
			pair.Go(func() {
				switch status, answer := o.call("config.replace", own.body(), orderTime); status {
				case http.StatusOK:
					accepted.Add(1)
					winner.Store(int32(own.number))
				case http.StatusPreconditionFailed:
					lost.Add(1)
				default:
					unclear.Add(1)
					c.record("change r%d on r%d got %d: %s", own.number, own.base, status, answer)
				}
			})
		}
		pair.Wait()
		if n := winner.Load(); n > 0 {
			plan.number = int(n)
		}
	}
	if c.trouble {
		for range bigConfigs {
			grow(bigConfig)
			race()
		}
	}
	c.record("%d routes, %d bytes of JSON", len(plan.routes), len(plan.body()))
	reported := time.Now()
	for end := c.start.Add(changesTime); time.Now().Before(end) && accepted.Load()+lost.Load() < mostOrders && !faulty(watches); {
		race()
		if time.Since(reported) > 5*time.Second {
			reported = time.Now()
			line := fmt.Sprintf("%d changes acknowledged, %d lost their race; memory in MB:", accepted.Load(), lost.Load())
			for _, w := range watches {
				line += fmt.Sprintf(" %d", w.process.residentBytes()>>20)
			}
			c.record("%s", line)
		}
	}
	close(stop)
	group.Wait()
	for _, w := range watches {
		c.record("%s: ended %d times for its memory, peak %d MB", w.process.name, w.ends.Load(), w.peak.Load()>>20)
	}
	c.record("%d changes acknowledged, %d lost their race, %d got no clear answer", accepted.Load(), lost.Load(), unclear.Load())
	return faulty(watches), nil
}

// faultyEnds is the number of ends of a process that the rule names.
const faultyEnds = 3

// faulty reports whether on half of the control hosts processes ended by themselves three times.
func faulty(watches []*memoryWatch) bool {
	hosts := 0
	for _, w := range watches {
		if w.ends.Load() >= faultyEnds {
			hosts++
		}
	}
	return 2*hosts >= len(watches)
}
