package request

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

const head = "POST /a HTTP/1.1\r\nHost: h\r\n"

// Guards against a request that has more than one reading, or none, and that is passed on. The bytes behind an invalid
// element must not be read, because it is not known where the request ends.
func TestInvalidRequestIsRejected(t *testing.T) {
	chunk := head + "Transfer-Encoding: chunked\r\n\r\n"
	for name, raw := range map[string]string{
		"method missing":               " /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"method with a forbidden byte": "P(ST /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"method too long":              strings.Repeat("A", 33) + " /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"target missing":               "GET  HTTP/1.1\r\nHost: h\r\n\r\n",
		"target doubled":               "GET /a /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"target with a tab":            "GET /a\tb HTTP/1.1\r\nHost: h\r\n\r\n",
		"target with NUL":              "GET /a\x00b HTTP/1.1\r\nHost: h\r\n\r\n",
		"target not ASCII":             "GET /\xff HTTP/1.1\r\nHost: h\r\n\r\n",
		"version missing":              "GET /a\r\nHost: h\r\n\r\n",
		"version empty":                "GET /a \r\nHost: h\r\n\r\n",
		"version out of range":         "GET /a HTTP/1.2\r\nHost: h\r\n\r\n",
		"version 2":                    "GET /a HTTP/2.0\r\nHost: h\r\n\r\n",
		"version in lower case":        "GET /a http/1.1\r\nHost: h\r\n\r\n",
		"version with a blank":         "GET /a HTTP/1.1 \r\nHost: h\r\n\r\n",
		"two empty lines":              "\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"bare LF before the request":   "\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"bare LF behind the version":   "GET /a HTTP/1.1\nHost: h\r\n\r\n",
		"bare LF behind a field":       head + "X: 1\nY: 2\r\n\r\n",
		"bare LF ends the head":        head + "\n",
		"bare CR in a value":           head + "X: 1\rY: 2\r\n\r\n",
		"bare CR behind a value":       head + "X: 1\r\r\n\r\n",
		"bare CR ends the head":        head + "\rX",
		"folded line":                  head + "X: 1\r\n 2\r\n\r\n",
		"folded line with a tab":       head + "X: 1\r\n\t2\r\n\r\n",
		"first field folded":           "GET /a HTTP/1.1\r\n Host: h\r\n\r\n",
		"field name empty":             head + ": 1\r\n\r\n",
		"field name missing":           head + "X\r\n\r\n",
		"blank in a field name":        head + "X Y: 1\r\n\r\n",
		"blank behind a field name":    head + "X : 1\r\n\r\n",
		"tab behind a field name":      head + "X\t: 1\r\n\r\n",
		"forbidden byte in a name":     head + "X(: 1\r\n\r\n",
		"NUL in a value":               head + "X: 1\x002\r\n\r\n",
		"DEL in a value":               head + "X: 1\x7f\r\n\r\n",
		"host missing":                 "GET /a HTTP/1.1\r\n\r\n",
		"host with a blank":            "GET /a HTTP/1.1\r\nHost: h i\r\n\r\n",
		"host as a list":               "GET /a HTTP/1.1\r\nHost: h,i\r\n\r\n",
		"host doubled":                 head + "Host: h\r\n\r\n",
		"length doubled":               head + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
		"length conflicting":           head + "Content-Length: 1\r\ncontent-length: 2\r\n\r\nxx",
		"length as a list":             head + "Content-Length: 1, 1\r\n\r\nx",
		"length empty":                 head + "Content-Length:\r\n\r\n",
		"length negative":              head + "Content-Length: -1\r\n\r\n",
		"length with a sign":           head + "Content-Length: +1\r\n\r\nx",
		"length in hex":                head + "Content-Length: 0x1\r\n\r\nx",
		"length out of range":          head + "Content-Length: 9999999999999999999\r\n\r\n",
		"length far out of range":      head + "Content-Length: " + strings.Repeat("0", 40) + "1\r\n\r\nx",
		"length and chunks":            head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"chunks and length":            head + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n",
		"encoding doubled":             head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"encoding identity":            head + "Transfer-Encoding: identity\r\n\r\n",
		"encoding as a list":           head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"encoding empty":               head + "Transfer-Encoding:\r\n\r\n",
		"encoding with HTTP/1.0":       "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"chunk size missing":           chunk + "\r\nx\r\n0\r\n\r\n",
		"chunk size not hex":           chunk + "g\r\nx\r\n0\r\n\r\n",
		"chunk size with a sign":       chunk + "+1\r\nx\r\n0\r\n\r\n",
		"chunk size with 0x":           chunk + "0x1\r\nx\r\n0\r\n\r\n",
		"chunk size out of range":      chunk + "1111111111111111\r\n",
		"blank before a chunk size":    chunk + " 1\r\nx\r\n0\r\n\r\n",
		"blank behind a chunk size":    chunk + "1 \r\nx\r\n0\r\n\r\n",
		"blank in a chunk size":        chunk + "1 1\r\nx\r\n0\r\n\r\n",
		"bare LF behind a chunk size":  chunk + "1\nx\r\n0\r\n\r\n",
		"bare CR in an extension":      chunk + "1;a\rb\r\nx\r\n0\r\n\r\n",
		"bare LF in an extension":      chunk + "1;a\nx\r\n0\r\n\r\n",
		"chunk longer than its size":   chunk + "1\r\nxx\r\n0\r\n\r\n",
		"bare LF behind a chunk":       chunk + "1\r\nx\n0\r\n\r\n",
		"blank in a trailer name":      chunk + "0\r\nX Y: 1\r\n\r\n",
		"folded trailer":               chunk + "0\r\nX: 1\r\n 2\r\n\r\n",
		"length in a trailer":          chunk + "0\r\nContent-Length: 1\r\n\r\n",
		"bare LF ends the trailers":    chunk + "0\r\n\n",
		"endless extension":            chunk + "1;" + strings.Repeat("a", maxOverhead),
		"small chunks":                 chunk + strings.Repeat("1\r\nx\r\n", maxOverhead/3),
	} {
		t.Run(name, func(t *testing.T) {
			for _, r := range []io.Reader{strings.NewReader(raw), iotest.OneByteReader(strings.NewReader(raw))} {
				if _, err := io.ReadAll(&Reader{Source: r}); !errors.Is(err, ErrInvalid) {
					t.Fatalf("read with %v", err)
				}
			}
			// A valid request before it must be read.
			before := head + "Content-Length: 3\r\n\r\nabc"
			got, err := io.ReadAll(&Reader{Source: strings.NewReader(before + raw)})
			if !errors.Is(err, ErrInvalid) || !strings.HasPrefix(string(got), before) {
				t.Fatalf("read %q with %v", got, err)
			}
		})
	}
}

// Guards against the rejection of valid requests, and against a body that is taken for a request.
func TestValidRequestIsPassedOn(t *testing.T) {
	chunk := head + "Transfer-Encoding: Chunked\r\n\r\n"
	for _, raw := range []string{
		"GET /a?b=%20&c[]='\"{}|\\^` HTTP/1.1\r\nHost: h\r\n\r\n",
		"\r\nGET / HTTP/1.1\r\nHost:h:80\r\n\r\n",
		"GET / HTTP/1.0\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost:\r\n\r\n",
		head + "X:\r\nY: \t \r\nZ:\ta\tb \x80\xff\r\nx-!#$%&'*+-.^_`|~: 1\r\n\r\n",
		head + "Content-Length: 0\r\n\r\n",
		head + "Content-Length:\t00013 \r\n\r\n\r\nGET /\x00: \n\r\n",
		head + "Content-Length-X: a\r\nTransfer-Encodings: a\r\n\r\n",
		chunk + "0\r\n\r\n",
		chunk + "A;a=\"b\"\r\n\r\n34567890\r\n00 ;x\r\nX-Sum: 1\r\nY:\r\n\r\n",
		chunk + strings.Repeat("1\r\nx\r\n", 1000) + "0\r\n\r\n",
		chunk + strings.Repeat("10\r\n"+strings.Repeat("x", 16)+"\r\n", 100_000) + "0\r\n\r\n",
	} {
		for _, r := range []io.Reader{strings.NewReader(raw + raw), iotest.OneByteReader(strings.NewReader(raw + raw))} {
			reader := &Reader{Source: r}
			got, err := io.ReadAll(reader)
			if err != nil || string(got) != raw+raw || reader.checker != (Checker{}) {
				t.Fatalf("%.200q: %v, read %d of %d bytes", raw, err, len(got), 2*len(raw))
			}
		}
	}
}

// Measures the check of an ordinary request.
func BenchmarkCheck(b *testing.B) {
	raw := []byte("GET /read/page?x=1 HTTP/1.1\r\nHost: service.example\r\nUser-Agent: bench\r\nAccept: */*\r\nX-Attempt-Id: 0123456789\r\n" +
		"X-Remaining-Ms: 1500\r\nCookie: " + strings.Repeat("c", 200) + "\r\n\r\n")
	b.SetBytes(int64(len(raw)))
	b.ReportAllocs()
	var c Checker
	for b.Loop() {
		if _, err := c.Check(raw); err != nil {
			b.Fatal(err)
		}
	}
}
