package consensus

import (
	"sync"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// fate is what became of a proposed entry.
type fate struct {
	result   *pb.CommandResult // set when the entry was applied
	replaced bool              // another entry took the index: it was surely not accepted
}

// waiters holds who waits for the entry at an index.
type waiters struct {
	mu      sync.Mutex
	byIndex map[uint64]map[uint64]chan fate // index, then term
}

func newWaiters() *waiters { return &waiters{byIndex: make(map[uint64]map[uint64]chan fate)} }

// add is called in the step loop, before the entry can be applied.
func (w *waiters) add(index, term uint64) chan fate {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := make(chan fate, 1)
	if w.byIndex[index] == nil {
		w.byIndex[index] = make(map[uint64]chan fate, 1)
	}
	w.byIndex[index][term] = c
	return c
}

func (w *waiters) remove(index, term uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byIndex[index], term)
	if len(w.byIndex[index]) == 0 {
		delete(w.byIndex, index)
	}
}

// finish tells the waiters of an index what was committed there.
func (w *waiters) finish(index, term uint64, result *pb.CommandResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for t, c := range w.byIndex[index] {
		if t == term {
			c <- fate{result: result}
		} else {
			c <- fate{replaced: true}
		}
	}
	delete(w.byIndex, index)
}

// skipTo tells the waiters up to an index that a snapshot covers their entries: their fate is open.
func (w *waiters) skipTo(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, terms := range w.byIndex {
		if i > index {
			continue
		}
		for _, c := range terms {
			c <- fate{}
		}
		delete(w.byIndex, i)
	}
}

func (w *waiters) failAll() { w.skipTo(^uint64(0)) }
