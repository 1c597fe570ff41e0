package simupstream

import "sync"

const maxTrackedKeys = 1 << 20 // bounds the memory of Executions

// Executions counts how often requests ran, in total and per idempotency key.
type Executions struct {
	mu        sync.Mutex
	total     uint64
	untracked uint64
	byKey     map[string]int
}

// ExecutionReport is the response of /v1/executions.
type ExecutionReport struct {
	Service   string         `json:"service"`
	Version   string         `json:"version"`
	Instance  string         `json:"instance"`
	Total     uint64         `json:"total"`
	Untracked uint64         `json:"untracked"` // executions whose key did not fit into the table
	Keys      map[string]int `json:"keys"`      // executions by idempotency key
}

// add counts one execution. An empty key is counted in the total only.
func (e *Executions) add(key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.total++
	if key == "" {
		return
	}
	if e.byKey == nil {
		e.byKey = map[string]int{}
	}
	if _, known := e.byKey[key]; !known && len(e.byKey) >= maxTrackedKeys {
		e.untracked++
		return
	}
	e.byKey[key]++
}

func (e *Executions) report() ExecutionReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	keys := make(map[string]int, len(e.byKey))
	for k, n := range e.byKey {
		keys[k] = n
	}
	return ExecutionReport{Total: e.total, Untracked: e.untracked, Keys: keys}
}
