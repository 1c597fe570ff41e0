package consensus

import (
	"sync"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// entryResult says what became of a proposed entry. It is unknown if neither field is set.
type entryResult struct {
	result   *pb.CommandResult // set if the entry was applied
	replaced bool              // another entry was committed at the index, so this one was certainly not accepted
}

// waiters holds the channels of the callers that wait for the entry at an index.
type waiters struct {
	mu      sync.Mutex
	byIndex map[uint64]map[uint64]chan entryResult // index, then term
}

func newWaiters() *waiters { return &waiters{byIndex: make(map[uint64]map[uint64]chan entryResult)} }

// add registers a waiter for an entry. It must be called in the step loop, before
// the entry can be applied.
func (w *waiters) add(index, term uint64) chan entryResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := make(chan entryResult, 1)
	if w.byIndex[index] == nil {
		w.byIndex[index] = make(map[uint64]chan entryResult, 1)
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

// finish reports to the waiters of an index which entry was committed there.
func (w *waiters) finish(index, term uint64, result *pb.CommandResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for t, c := range w.byIndex[index] {
		if t == term {
			c <- entryResult{result: result}
		} else {
			c <- entryResult{replaced: true}
		}
	}
	delete(w.byIndex, index)
}

// releaseUpTo releases the waiters up to an index without a known result, because
// a snapshot covers their entries.
func (w *waiters) releaseUpTo(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, terms := range w.byIndex {
		if i > index {
			continue
		}
		for _, c := range terms {
			c <- entryResult{}
		}
		delete(w.byIndex, i)
	}
}

func (w *waiters) releaseAll() { w.releaseUpTo(^uint64(0)) }
