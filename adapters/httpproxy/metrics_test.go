package httpproxy

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
)

// Guards against an unbounded number of time series and against invalid metrics output, which
// come about because callers choose tenants and classes.
func TestLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	m := newCallMetrics(set, "entry")
	for i := range 10 * maxLabels {
		m.observe(&call{tenant: fmt.Sprint("tenant \"", i, "\\{}"), class: "browse"}, nil, time.Millisecond)
	}
	m.observe(&call{tenant: "one more"}, reject(ReasonQueueFull), 0)
	var out bytes.Buffer
	set.WritePrometheus(&out)
	series := strings.Count(out.String(), "rattanfield_call_seconds_count")
	is.True(series > 1 && series <= maxLabels+1)
	is.True(strings.Contains(out.String(), `rattanfield_calls_total{side="entry",reason="queue-full"} 1`))
	is.True(strings.Contains(out.String(), fmt.Sprintf(`rattanfield_calls_total{side="entry",reason="answered"} %d`, 10*maxLabels)))
	is.True(strings.Contains(out.String(), `tenant="other",class="other"`))
}
