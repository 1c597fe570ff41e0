package plancheck

import (
	"cmp"
	"strconv"
	"time"

	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// trafficLimits reports limits that contradict each other. A limit that the plan does not state has the value of the
// product; two such values are not compared, and neither is one that is smaller than a stated one should be.
func (c *checker) trafficLimits() {
	l := c.plan.GetLimits()
	at := func(f plan.Field) plan.Location { return plan.Location{Section: plan.SectionLimits, Field: f} }
	const subject = "limits"
	body := c.options.body(l)
	if header := uint64(l.GetMaxHeaderBytes()); header > body {
		c.warn(kindHeader, subject, at(plan.FieldMaxHeader), "at most "+bytes(body), "the header limit of %s is above the body limit of %s", bytes(header), bytes(body))
	}
	if header, need := c.options.header(l), c.headerNeed(); need > 0 && int(header) < need {
		c.warn(kindHeader, subject, at(plan.FieldMaxHeader), "at least "+bytes(uint64(need)),
			"the header limit of %s is below the %s that the longest key and the longest name need", bytes(uint64(header)), bytes(uint64(need)))
	}
	if header, idle := l.GetHeaderTimeoutMs(), cmp.Or(l.GetIdleTimeoutMs(), c.options.IdleTimeoutMs); header > idle {
		c.warn(kindTimeouts, subject, at(plan.FieldHeaderTimeout), "at most "+milliseconds(idle), "the header timeout %s is above the idle timeout %s", milliseconds(header), milliseconds(idle))
	}
	if most := c.options.LargestBody; most > 0 && body > most {
		c.warn(kindMemory, subject, at(plan.FieldMaxBody), "at most "+bytes(most), "the body limit of %s is above the %s that the memory of the host holds", bytes(body), bytes(most))
	}
}

// body returns the body limit that the product applies.
func (o Options) body(t *pb.TrafficLimits) uint64 {
	return min(cmp.Or(t.GetMaxBodyBytes(), o.MaxBodyBytes), o.MaxBodyBytes)
}

// header returns the header limit that the product applies.
func (o Options) header(t *pb.TrafficLimits) uint32 {
	return cmp.Or(t.GetMaxHeaderBytes(), o.MaxHeaderBytes)
}

// headerNeed returns the size of the header lines of the longest key and the longest name; 0: there is none.
func (c *checker) headerNeed() int {
	key, name := 0, 0
	for _, o := range c.plan.GetOrganisations() {
		name = max(name, len(o.GetName()))
		for _, k := range o.GetKeys() {
			key = max(key, len(k))
		}
	}
	if key == 0 {
		return 0
	}
	return key + name + c.options.HeaderLinesBytes
}

// statedTime is a time as the operator stated it, see PlanService in the protocol.
type statedTime struct {
	ms      uint32
	exactMs string
}

func (t statedTime) String() string {
	if t.exactMs != "" {
		return t.exactMs + "ms"
	}
	return milliseconds(t.ms)
}

func milliseconds(n uint32) string {
	return strconv.FormatInt((time.Duration(n)*time.Millisecond).Milliseconds(), 10) + "ms"
}

func bytes(n uint64) string { return strconv.FormatUint(n, 10) + " bytes" }

func number(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
