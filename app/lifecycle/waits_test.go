package lifecycle

import (
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
)

// Guards against waits for the process that no log line and no metric shows, and against a line each second on a calm process.
func TestLongWaitsAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	logger, set := log.NewLogfmtLogger(&out), metrics.NewSet()
	w := NewResources(0, 0).NewWaits(set, "entry")
	w.Observe(meshhttp.StageStart, slowWait-time.Millisecond)
	w.Observe(meshhttp.StageOrder, time.Second)
	w.log(logger, 0, 0)
	is.Equal(out.String(), "")
	w.Observe(meshhttp.StageAccept, slowWait)
	w.Observe(meshhttp.StageAccept, time.Millisecond)
	w.Observe(meshhttp.StageOrder, time.Second)
	w.log(logger, 3*time.Millisecond, 2*time.Millisecond)
	w.log(logger, 0, 0)
	is.Equal(out.String(), "event=\"requests wait for the process\" listener=entry accept=125ms start=0s order=1s write=0s timer=3ms scheduling=2ms\n")
	var text strings.Builder
	set.WritePrometheus(&text)
	logged := NewResources(0, 0).NewWaits(nil, "metrics")
	logged.Observe(meshhttp.StageStart, slowWait)
	logged.log(logger, 0, 0)
	is.True(strings.HasSuffix(out.String(), "listener=metrics accept=0s start=125ms order=0s write=0s timer=0s scheduling=0s\n"))
	is.True(strings.Contains(text.String(), `rattanfield_wait_seconds_count{listener="entry",stage="accept"} 2`))
}

// Guards against a quantile that does not follow the waits of the time since the last call.
func TestSchedulingWaitsAreThoseSinceTheLastCall(t *testing.T) {
	is := is.New(t)
	w := newSchedulingWaits()
	w.counts = nil
	before := w.quantile(1)
	is.True(before > 0) // of all goroutines so far
	is.True(w.quantile(0) <= before)
}
