package httpproxy

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/rattanfield/rattanfield/adapters/request"
)

// Guards against a header that is decoded with more fields than were counted, wherever the reads of the connection end.
func TestFieldsAreCountedInAnySplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream strings.Builder
		largest := 0
		for range rapid.IntRange(1, 4).Draw(t, "requests") {
			n := rapid.IntRange(0, 40).Draw(t, "fields")
			body := strings.Repeat(rapid.SampledFrom([]string{"", ",", "\r\n\r\n", "a;b"}).Draw(t, "body"), 5)
			head := "POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:,;\r\n", n) + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
			stream.WriteString(head + body)
			largest = max(largest, request.CountFields([]byte(head)))
		}
		rest := stream.String()
		input := request.Reader{Source: strings.NewReader(rest)}
		var counter fieldCounter
		most := 0
		for len(rest) > 0 {
			b := make([]byte, min(len(rest), rapid.IntRange(1, 200).Draw(t, "read")))
			inHeader := input.InHeader()
			n, err := input.Read(b)
			if err != nil {
				t.Fatal(err)
			}
			most = max(most, counter.count(b[:n], inHeader, input.InHeader()))
			rest = rest[n:]
		}
		if most < largest {
			t.Fatalf("%d fields were counted, a header has %d", most, largest)
		}
	})
}

// Guards against a connection on which the fields of all its requests add up until it is refused.
func TestFieldsOfEachRequestCountAlone(t *testing.T) {
	const fields = 10
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", fields) + "\r\n"
	for _, read := range []int{len(head), len(head) / 2, len(head) - 1, 3, 1} {
		input := request.Reader{Source: strings.NewReader(strings.Repeat(head, 20))}
		var counter fieldCounter
		for {
			b := make([]byte, read)
			inHeader := input.InHeader()
			n, err := input.Read(b)
			if err != nil {
				break
			}
			// A read may hold the end of one header and the begin of the next one.
			if got, want := counter.count(b[:n], inHeader, input.InHeader()), request.CountFields([]byte(head)); got > want {
				t.Fatalf("reads of %d bytes: %d fields were counted, a header has %d", read, got, want)
			}
		}
	}
}
