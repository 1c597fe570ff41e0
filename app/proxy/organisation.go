package proxy

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
)

// keyOf returns the last key of a request and the number of its keys. Trailers do not count. It allocates nothing.
func keyOf(names *Headers, h *fasthttp.RequestHeader) (key []byte, count int) {
	name := []byte(names.Key)
	for k, v := range h.All() {
		if bytes.EqualFold(k, name) {
			key = v
			count++
		}
	}
	return key, count
}

// setOrganisation replaces the key by the name of the organisation, also where the client sent such a name.
func (f *forwarding) setOrganisation(h *fasthttp.RequestHeader) {
	names := &f.entry.options.Headers
	delSimilar(h, names.Key, names.Organisation)
	h.Del(hopOrganisation)
	if o := f.info.organisation; o != nil {
		h.Set(names.Organisation, o.GetName())
		h.Set(hopOrganisation, o.GetName())
	}
}

// delSimilar removes the headers that an upstream may take for one of the names: in any case, with underscores for hyphens,
// as CGI and its successors read them, and with blanks.
func delSimilar(h *fasthttp.RequestHeader, names ...string) {
	var found []string
	for k := range h.All() {
		for _, name := range names {
			if isSimilar(k, name) {
				found = append(found, string(k))
			}
		}
	}
	for _, k := range found {
		h.Del(k)
	}
}

// isSimilar reports whether a header name is equal to another one but for case, blanks and underscores for hyphens.
func isSimilar(k []byte, name string) bool {
	i := 0
	for _, c := range k {
		switch {
		case c == ' ' || c == '\t':
			continue
		case i == len(name):
			return false
		case c == '_':
			c = '-'
		case 'A' <= c && c <= 'Z':
			c += 'a' - 'A'
		}
		n := name[i]
		if 'A' <= n && n <= 'Z' {
			n += 'a' - 'A'
		}
		if c != n {
			return false
		}
		i++
	}
	return i == len(name)
}

// AdmitHeader rejects a request with a body by its header if it has no key that an organisation holds, so that bodies of
// unknown callers take neither memory nor time on the link. Handle rejects the others.
func (e *Entry) AdmitHeader(x *meshhttp.Exchange) bool {
	f := e.newForwarding(x)
	if _, reason := f.match(); reason != reasonUnknownKey {
		return true
	}
	f.reject(reasonUnknownKey)
	return false
}

// identifyAgain identifies the caller by a newer plan than the one by which the request was accepted, if there is one. It
// returns false if the key was withdrawn meanwhile.
func (f *forwarding) identifyAgain() bool {
	t := f.view.Plan
	if f.info.organisation == nil || t.Serial == f.keyPlan {
		return true
	}
	f.keyPlan = t.Serial
	if !t.HasOrganisations() {
		return true // the request keeps what the plan said when it was accepted
	}
	info, reason := identify(&f.entry.options.Headers, t, f.route, &f.x.Request.Header)
	if reason != "" {
		return false
	}
	f.info.organisation, f.info.regions = info.organisation, info.regions
	f.setOrganisation(&f.out.Header)
	return true
}

// describeReadError describes why a request could not be read. It leaves out what the HTTP library quotes from the request,
// which may be a key.
func describeReadError(err error) string {
	text, _, quoted := strings.Cut(err.Error(), `"`)
	if quoted {
		text += "..."
	}
	return text
}

const (
	// unknownKeyLines and unknownKeyBurst bound the log lines per second of requests without a known key, which anybody
	// may send.
	unknownKeyLines = 5
	unknownKeyBurst = 20
)

// unknownKeyLog describes unknown keys for log lines, and bounds these lines.
type unknownKeyLog struct {
	seed       uint64 // of the hash, so that it tells nothing about a key
	limiter    *rate.Limiter
	suppressed atomic.Int64 // lines since the last one
}

func newUnknownKeyLog() *unknownKeyLog {
	return &unknownKeyLog{seed: rand.Uint64(), limiter: rate.NewLimiter(unknownKeyLines, unknownKeyBurst)}
}

// hash returns a hash of four bytes, by which operators recognise requests with the same key in the log of one process.
func (l *unknownKeyLog) hash(key []byte) string {
	d := xxhash.NewWithSeed(l.seed)
	_, _ = d.Write(key) // never fails
	return fmt.Sprintf("%08x", uint32(d.Sum64()))
}

// describeCaller returns the fields of a log line that describe the caller: its organisation, or what is wrong with its
// key. It returns true if the line is not logged, because there were too many of that kind.
func (f *forwarding) describeCaller(reason string) (fields []any, suppressed bool) {
	if f.view.Plan == nil || !f.view.Plan.HasOrganisations() {
		return nil, false
	}
	if reason != reasonUnknownKey {
		return []any{"organisation", f.info.organisation.GetName()}, false
	}
	log := f.entry.unknownKeys
	if !log.limiter.AllowN(time.Now(), 1) {
		log.suppressed.Add(1)
		return nil, true
	}
	key, count := keyOf(&f.entry.options.Headers, &f.x.Request.Header)
	hash := ""
	if count == 1 {
		hash = log.hash(key)
	}
	return []any{"keys", count, "key_hash", hash, "suppressed", log.suppressed.Swap(0)}, false
}
