package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	firstNode        = 5 // number of the first host with a node
	oldBackends      = 4
	newBackends      = 4
	requestsPerNode  = 10 // a second
	beforeNewVersion = 4 * time.Second
	beforeLeave      = 5 * time.Second
	afterLeave       = 10 * time.Second
)

// newVersion starts the backends of a new version beside the old ones and orders its rollout only later. Meanwhile one of the old backends
// leaves as planned; without the trouble, all stay.
func newVersion(c *caseRun) (bool, error) {
	s, _, err := controlSite(c, 3)
	if err != nil {
		return false, err
	}
	var ordered atomic.Bool
	var mu sync.Mutex
	ran := make(map[string]int) // before the order, by version
	onRun := func(b *backend, attempt string) {
		if ordered.Load() {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		ran[b.version]++
		if b.version == "v2" && ran["v2"] <= 5 {
			c.record("%s of v2 runs request %s, though no rollout was ordered", b.id, attempt)
		}
	}
	var backends []*backend
	var nodes []*process
	start := func(version string, count int) error {
		for range count {
			host := firstNode + len(backends)
			settings := s.settings(host, "", "lehu44b")
			if version != "v1" { // a machine that is added later
				settings = strings.Replace(settings, "bootstrap = true", "bootstrap = false", 1)
			}
			node, err := c.startProcess(fmt.Sprintf("sidecar-%d", host), "node", settings)
			if err != nil {
				return err
			}
			b := &backend{c: c, site: s, host: host, id: fmt.Sprintf("i-%s-%d", version, host), service: "lehu44b", version: version, work: 30 * time.Millisecond, onRun: onRun}
			if err := b.start(); err != nil {
				return err
			}
			nodes, backends = append(nodes, node), append(backends, b)
		}
		return nil
	}
	if err := start("v1", oldBackends); err != nil {
		return false, err
	}
	o := newOperator(s.controlAddresses())
	plan := &configuration{number: 2, services: []string{"lehu44b"}, routes: []string{
		`{"host":"ficu95.example","paths":[{"name":"r-3d3zji9","path_prefix":"/lohu930/","kind":"idempotent","timeout":"1200ms","slo":"400ms","priority":2,"service":"lehu44b","max_attempts":2}]}`,
	}}
	if status, answer := o.call("config.replace", plan.body(), 20*time.Second); status != http.StatusOK {
		return false, fmt.Errorf("the configuration got %d: %s", status, answer)
	}
	if !s.awaitReady(oldBackends) {
		return false, fmt.Errorf("the nodes did not get ready")
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served, failed atomic.Int32
	for i := range oldBackends {
		clients.Go(func() { s.sendRequests(firstNode+i, stop, &served, &failed) })
	}
	time.Sleep(beforeNewVersion)
	c.record("%d backends of v2 start beside %d of v1", newBackends, oldBackends)
	if err := start("v2", newBackends); err != nil {
		return false, err
	}
	time.Sleep(beforeLeave)
	if c.trouble {
		go func() {
			backends[0].leave(4 * time.Second)
			nodes[0].signal(syscall.SIGTERM)
		}()
	}
	time.Sleep(afterLeave)
	ordered.Store(true)
	status, answer := o.call("rollouts.start", []byte(`{"service":"lehu44b","target_version":"v2","duration":"12s"}`), 5*time.Second)
	c.record("the rollout of v2 is ordered only now: %d %s", status, answer)
	close(stop)
	clients.Wait()
	for _, b := range backends {
		b.end()
	}
	mu.Lock()
	defer mu.Unlock()
	c.record("before the order: %d requests ran on v1, %d on v2; %d requests were served, %d not", ran["v1"], ran["v2"], served.Load(), failed.Load())
	if ran["v1"] == 0 {
		return false, fmt.Errorf("v1 ran nothing")
	}
	return ran["v2"] > 0, nil
}

// awaitReady waits until the nodes from the first one on are ready.
func (s *site) awaitReady(nodes int) bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for i := range nodes {
			resp, err := checkInClient.Get("http://" + s.address(firstNode+i, portReady) + wire.ReadyPath)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == nodes {
			return true
		}
	}
	return false
}

// sendRequests sends idempotent requests to the entry of a node until stop is closed or the node takes no connections.
func (s *site) sendRequests(host int, stop <-chan struct{}, served, failed *atomic.Int32) {
	client := &http.Client{Timeout: 2500 * time.Millisecond}
	ticker := time.NewTicker(time.Second / requestsPerNode)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		r, err := http.NewRequest(http.MethodGet, "http://"+s.address(host, portEntry)+"/lohu930/2f", nil)
		if err != nil {
			return
		}
		r.Host = "ficu95.example"
		r.Header.Set(wire.ID, fmt.Sprintf("a-%d-%d", host, n))
		r.Header.Set("X-Deadline-Ms", "2500")
		resp, err := client.Do(r)
		if err != nil {
			failed.Add(1)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			served.Add(1)
		} else {
			failed.Add(1)
		}
	}
}
