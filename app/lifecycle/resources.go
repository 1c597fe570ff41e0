package lifecycle

import (
	"context"
	"fmt"
	"io"
	"math"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/rattanfield/rattanfield/adapters/memory"
	"github.com/rattanfield/rattanfield/adapters/meshhttp"
)

// Resources are the memory and the descriptors that a process has for its connections.
type Resources struct {
	// Account bounds the memory for connections, requests and responses.
	Account     *memory.Account
	largest     int64
	connections int
	refusals    []*refusals
	waits       []*Waits
}

const (
	// runtimeBytes and runtimePercent are the memory of a process that is not for connections, whichever is more: the program, the
	// runtime, tables and garbage. A node of a mesh with one upstream uses about 30 MB.
	runtimeBytes   = 44_000_000
	runtimePercent = 40
	// leastPercent of the memory is for connections in any case.
	leastPercent = 33
	// largePercent of the account is the most that large bodies may use together. The rest serves ordinary requests.
	largePercent = 90

	// platformFiles are the descriptors that the platform reserves for files, and reservedFiles those for listeners, logs and
	// the connections between processes of the system.
	platformFiles = 200
	reservedFiles = 32
	// Of the descriptors that are left, connections of clients get accepted/parts. The others are for connections to upstreams and
	// other nodes.
	acceptedParts, parts = 3, 5
)

// NewResources returns the resources of a process that may use a number of bytes and descriptors. 0 bytes: not bounded. 0
// descriptors: the limit of the operating system.
func NewResources(bytes, files int) *Resources {
	limit := int64(math.MaxInt64 / 2)
	if bytes > 0 {
		limit = max(int64(bytes)-max(runtimeBytes, int64(bytes)*runtimePercent/100), int64(bytes)*leastPercent/100)
	}
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) == nil && (files == 0 || r.Cur < uint64(files)) {
		files = int(min(r.Cur, math.MaxInt32))
	}
	return &Resources{
		Account:     memory.NewAccount(limit, limit/100*largePercent),
		largest:     limit / 100 * largePercent,
		connections: max(parts, files-platformFiles-reservedFiles),
	}
}

// leastSlots is the least number of connections of a listener.
const leastSlots = 3

// Slots returns the slots of a listener that gets a share, in percent, of the accepted connections.
func (r *Resources) Slots(percent int) *memory.Account {
	return memory.NewSlots(int64(max(leastSlots, r.connections*acceptedParts/parts*percent/100)))
}

// Outgoing returns the number of connections that the process may open to others.
func (r *Resources) Outgoing() int { return max(leastSlots, r.connections*(parts-acceptedParts)/parts) }

// LargestBody returns the most that the body of one request may have.
func (r *Resources) LargestBody() int { return int(r.largest) }

// AddMetrics adds the state of the account.
func (r *Resources) AddMetrics(set *metrics.Set) {
	set.NewGauge("rattanfield_connection_memory_bytes", func() float64 { held, _, _ := r.Account.Counts(); return float64(held) })
	set.NewGauge("rattanfield_connection_memory_refused", func() float64 { _, refused, _ := r.Account.Counts(); return float64(refused) })
	set.NewGauge("rattanfield_connection_memory_evicted", func() float64 { _, _, evicted := r.Account.Counts(); return float64(evicted) })
}

// refusals is a count of refusals by a listener, for one reason.
type refusals struct {
	listener, reason string
	count            func() uint64
	logged           uint64
}

// AddServer adds how many connections and requests a server closed or refused before they were read, by reason, to the metrics and
// to the lines of Run. It must not be called after Run.
func (r *Resources) AddServer(set *metrics.Set, listener string, s *meshhttp.Server) {
	s.Refusals(func(reason string, count func() uint64) {
		r.refusals = append(r.refusals, &refusals{listener: listener, reason: reason, count: count})
		set.NewGauge(fmt.Sprintf("rattanfield_connections_refused{listener=%q,reason=%q}", listener, reason), func() float64 { return float64(count()) })
	})
}

// logInterval is the time between two lines about the same listener and reason. A line for each refusal would let clients fill
// the log.
const logInterval = 5 * time.Second

// Run logs what was refused and what waited for long until the context ends.
func (r *Resources) Run(ctx context.Context, logger log.Logger) error {
	var waits sync.WaitGroup
	waits.Go(func() { r.logWaits(ctx, logger) })
	defer waits.Wait()
	ticker := time.NewTicker(logInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.logRefusals(logger)
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *Resources) logRefusals(logger log.Logger) {
	for _, f := range r.refusals {
		n := f.count()
		if n == f.logged {
			continue
		}
		held, _, _ := r.Account.Counts()
		_ = logger.Log("event", "connections refused", "listener", f.listener, "reason", f.reason, "number", n-f.logged, "memory", held)
		f.logged = n
	}
}

// topUsers is the number of users of each kind that WriteTop names.
const topUsers = 5

// WriteTop writes the users that hold the most memory. Their names differ from call to call, so they are no registered metrics.
func (r *Resources) WriteTop(w io.Writer) {
	for _, u := range r.Account.Top(topUsers) {
		_, _ = fmt.Fprintf(w, "rattanfield_connection_memory_top_bytes{kind=%q,name=%q} %d\n", u.Kind, u.Name, u.Held) // the client has gone if it fails
	}
}
