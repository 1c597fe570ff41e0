package controlclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/app/lifecycle"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

const (
	// askNextAfter is the time without a response after which the next control host is asked too. It covers several round trips
	// between regions and the sync of a slow disk.
	askNextAfter = 250 * time.Millisecond
	// departureTimeout bounds the attempt to record a departure or to list them. A caller may give up earlier; the record may still succeed,
	// so that the next announcement is acknowledged at once.
	departureTimeout = 3 * time.Second
	// maxDepartures bounds the departures that are being recorded, and those that are known to be recorded. An upstream
	// announces its own only.
	maxDepartures = 64
)

var (
	errTooManyDepartures = errors.New("too many departures are being recorded")
	errNoControlHost     = errors.New("no control host is known")
)

// departures are the departures that this node has recorded with the control hosts.
type departures struct {
	mu       sync.Mutex
	pending  map[departureKey]*recording
	recorded map[string]int64 // born-until time by instance
}

type departureKey struct {
	instance  string
	bornUntil int64
}

// recording is an attempt to record a departure. err may be read once done is closed.
type recording struct {
	done chan struct{}
	err  error
}

// RecordDeparture returns nil once the control hosts have stored a departure of this host durably. It returns an error if
// they have not, or if ctx ends first.
func (c *Client) RecordDeparture(ctx context.Context, d *pb.Departure) error {
	r, err := c.startRecording(ctx, d)
	if r == nil {
		return err
	}
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startRecording returns the running attempt to record a departure, which it starts if there is none. It returns nil if the
// departure is recorded already.
func (c *Client) startRecording(ctx context.Context, d *pb.Departure) (*recording, error) {
	key := departureKey{d.GetInstance(), d.GetBornUntilUnixMs()}
	s := &c.departures
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.recorded[key.instance]; ok && at >= key.bornUntil {
		return nil, nil
	}
	if r := s.pending[key]; r != nil {
		return r, nil
	}
	if len(s.pending) >= maxDepartures {
		return nil, errTooManyDepartures
	}
	if s.pending == nil {
		s.pending = make(map[departureKey]*recording)
	}
	r := &recording{done: make(chan struct{})}
	s.pending[key] = r
	d = proto.CloneOf(d)
	d.Node = c.options.Node
	go c.record(context.WithoutCancel(ctx), key, d, r)
	return r, nil
}

func (c *Client) record(ctx context.Context, key departureKey, d *pb.Departure, r *recording) {
	r.err = c.askHosts(ctx, func(ctx context.Context, host rattanfieldv1connect.MeshServiceClient) error {
		_, err := host.RecordDeparture(ctx, connect.NewRequest(&pb.RecordDepartureRequest{Departure: d}))
		return err
	})
	if r.err != nil {
		_ = c.logger.Log("event", "departure not recorded", "instance", d.GetInstance(), "err", r.err)
	}
	s := &c.departures
	s.mu.Lock()
	delete(s.pending, key)
	if r.err == nil {
		s.setRecorded(d)
	}
	s.mu.Unlock()
	close(r.done)
}

// setRecorded notes that a departure is recorded. The caller must hold s.mu. A full map is cleared: to record a departure
// once more changes nothing.
func (s *departures) setRecorded(d *pb.Departure) {
	if s.recorded == nil || len(s.recorded) >= maxDepartures {
		s.recorded = make(map[string]int64)
	}
	s.recorded[d.GetInstance()] = max(s.recorded[d.GetInstance()], d.GetBornUntilUnixMs())
}

// Departures returns the departures of this host that were acknowledged before the call. It tries until the control hosts
// answer with a quorum, or until the context ends, when it returns an error.
func (c *Client) Departures(ctx context.Context) ([]*pb.Departure, error) {
	for pause := retryPause; ; pause = min(2*pause, maxRetryPause) {
		var mu sync.Mutex
		var out []*pb.Departure
		err := c.askHosts(ctx, func(ctx context.Context, host rattanfieldv1connect.MeshServiceClient) error {
			r, err := host.ListDepartures(ctx, connect.NewRequest(&pb.ListDeparturesRequest{Node: c.options.Node}))
			if err == nil {
				mu.Lock()
				out = r.Msg.GetDepartures()
				mu.Unlock()
			}
			return err
		})
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err != nil {
			lifecycle.Pause(ctx, pause/2+rand.N(pause))
			continue
		}
		mu.Lock()
		defer mu.Unlock()
		c.departures.mu.Lock()
		defer c.departures.mu.Unlock()
		for _, d := range out {
			c.departures.setRecorded(d)
		}
		return out, nil
	}
}

// askHosts calls the control hosts until one succeeds: the current one first, and the next one whenever a call fails or is
// not answered within askNextAfter. It returns the error of the last call that failed if none succeeds.
func (c *Client) askHosts(ctx context.Context, call func(context.Context, rattanfieldv1connect.MeshServiceClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	hosts := slices.DeleteFunc(slices.Clone(c.options.Seeds()), func(s string) bool { return s == "" })
	if known := c.hostOrder.Load(); known != nil {
		hosts = *known
	}
	results := make(chan error, len(hosts))
	err := errNoControlHost
	for next, running := 0, 0; next < len(hosts) || running > 0; {
		var timer <-chan time.Time
		if next < len(hosts) {
			host := c.clients.Get(hosts[next])
			go func() { results <- call(ctx, host) }()
			next++
			running++
			timer = time.After(askNextAfter)
		}
		select {
		case err = <-results:
			running--
			// A control host of an older version keeps no departures.
			if err == nil || connect.CodeOf(err) == connect.CodeUnimplemented {
				return nil
			}
		case <-timer:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return err
}
