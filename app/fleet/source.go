package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

var errNoQuorum = errors.New("no quorum")

// Source takes the place of the replicated log: it accepts changes and passes each state to
// the replicas that are not isolated.
type Source struct {
	mu       sync.Mutex
	current  *pb.Configuration
	replicas []*Replica
}

// NewSource returns a source whose current configuration is c.
func NewSource(c *pb.Configuration) *Source { return &Source{current: c} }

// Accept applies changes to the current configuration and returns the next revision.
func (s *Source) Accept(changes ...*pb.Change) *pb.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = config.Apply(s.current, changes, s.current.GetRevision()+1)
	for _, r := range s.replicas {
		if r.delay > 0 {
			time.AfterFunc(r.delay, func() { r.update(s.Configuration()) })
			continue
		}
		r.update(s.current)
	}
	return s.current
}

// Configuration returns the configuration that was accepted last.
func (s *Source) Configuration() *pb.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Replica is the state machine of one control host.
type Replica struct {
	source *Source
	delay  time.Duration // from Accept until a change arrives

	mu         sync.Mutex
	state      *ports.AppliedState
	changed    chan struct{}
	isolatedAt time.Time // zero unless isolated
}

// AddReplica adds the replica of a control host, at which changes arrive after a delay.
func (s *Source) AddReplica(delay time.Duration) *Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &Replica{source: s, delay: delay, state: &ports.AppliedState{Configuration: s.current}, changed: make(chan struct{})}
	s.replicas = append(s.replicas, r)
	return r
}

// update applies c, unless the replica is isolated or has the same or a higher revision.
func (r *Replica) update(c *pb.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isolatedAt.IsZero() || c.GetRevision() <= r.state.Configuration.GetRevision() {
		return
	}
	r.state = &ports.AppliedState{Index: r.state.Index + 1, Configuration: c}
	close(r.changed)
	r.changed = make(chan struct{})
}

// Isolate isolates the control host from the others, or ends the isolation.
func (r *Replica) Isolate(isolated bool) {
	r.mu.Lock()
	switch {
	case !isolated:
		r.isolatedAt = time.Time{}
	case r.isolatedAt.IsZero():
		r.isolatedAt = time.Now()
	}
	r.mu.Unlock()
	if !isolated {
		r.update(r.source.Configuration())
	}
}

// State returns the state of the replica.
func (r *Replica) State() *ports.AppliedState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// ConfirmRead returns an error at once while the control host is isolated, since it then has
// no quorum.
func (r *Replica) ConfirmRead(context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isolatedAt.IsZero() {
		return errNoQuorum
	}
	return nil
}

// ConfirmedAge returns the time since the isolation began, 0 if there is none.
func (r *Replica) ConfirmedAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isolatedAt.IsZero() {
		return 0
	}
	return time.Since(r.isolatedAt)
}
