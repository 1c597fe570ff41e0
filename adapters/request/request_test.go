package request

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/rattanfield/rattanfield/adapters/request/requesttest"
)

const head = "POST /a HTTP/1.1\r\nHost: h\r\n"

// Guards against a request that has more than one reading, or none, and that is passed on. The bytes behind an invalid
// element must not be read, because it is not known where the request ends.
func TestInvalidRequestIsRejected(t *testing.T) {
	for name, raw := range requesttest.Invalid() {
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
	raw := []byte("GET /read/page?x=1 HTTP/1.1\r\nHost: service.example\r\nUser-Agent: bench\r\nAccept: */*\r\nX-Request-Id: 0123456789\r\n" +
		"X-Time-Left: 1500\r\nCookie: " + strings.Repeat("c", 200) + "\r\n\r\n")
	b.SetBytes(int64(len(raw)))
	b.ReportAllocs()
	var c Checker
	for b.Loop() {
		if _, err := c.Check(raw); err != nil {
			b.Fatal(err)
		}
	}
}
