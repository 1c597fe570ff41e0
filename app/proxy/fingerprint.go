package proxy

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/valyala/fasthttp"
)

// maxFingerprintBody is the number of bytes of a body that a fingerprint covers. Longer bodies also differ by their length.
const maxFingerprintBody = 256 << 10

// fingerprint identifies requests that are the same for an upstream, whichever client sent them and at whichever node:
// service, organisation, method, host, target with its query, credentials and body. It uses a cryptographic hash, so that nobody can
// build another request with the fingerprint of a given one.
func fingerprint(service string, r *fasthttp.Request) uint64 {
	h := sha256.New()
	var length [8]byte
	add := func(b []byte, n int) {
		binary.LittleEndian.PutUint64(length[:], uint64(n))
		_, _ = h.Write(length[:]) // never fails, as the next one
		_, _ = h.Write(b)
	}
	body := r.Body()
	if o := r.Header.Peek(hopOrganisation); len(o) > 0 { // upstreams may treat organisations differently
		add(o, len(o))
	}
	for _, part := range [][]byte{
		[]byte(service), r.Header.Method(), r.Header.Host(), r.Header.RequestURI(), r.Header.Peek(fasthttp.HeaderAuthorization),
	} {
		add(part, len(part))
	}
	add(body[:min(len(body), maxFingerprintBody)], len(body))
	var sum [sha256.Size]byte
	return binary.LittleEndian.Uint64(h.Sum(sum[:0]))
}

func formatFingerprint(f uint64) string { return strconv.FormatUint(f, 16) }
