// Package responsetest provides raw HTTP/1 responses for tests of programs that read responses.
package responsetest

import (
	"fmt"
	"strings"
)

// Form is a raw response of a server that closes the connection behind it.
type Form struct {
	Name string
	// Raw is the response with a mark at the place of further field lines, see With.
	Raw string
	// InTrailers tells that the header is valid and the trailers are not.
	InTrailers bool
	// Status and Body are what a client must get; zero if the response is invalid.
	Status int
	Body   string
}

// fields marks the place of further field lines.
const fields = "{fields}\r\n"

// With returns the raw response with further field lines, which have no line ends.
func (f Form) With(lines ...string) string {
	text := ""
	for _, l := range lines {
		text += l + "\r\n"
	}
	return strings.ReplaceAll(f.Raw, fields, text)
}

// Payload is the body that the servers of all forms mean to send.
const Payload = "the whole response"

// Invalid returns responses that no client may take for an answer.
func Invalid() []Form {
	out := []Form{
		{Name: "status 000 without a length", Raw: "HTTP/1.1 000 Unknown\r\n" + fields + "\r\n" + Payload},
		{Name: "HTTP/1.0 with chunks", Raw: "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunked("")},
		{Name: "name in an interim response", Raw: "HTTP/1.1 103 Early Hints\r\nLi nk: </a>\r\n\r\n" + framed("HTTP/1.1 200 OK")},
		{Name: "status of an interim response", Raw: "HTTP/1.1 000 Continue\r\n\r\n" + framed("HTTP/1.1 200 OK")},
		{Name: "blank in the name of a trailer", Raw: "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunked("X Sum: 1\r\n"), InTrailers: true},
		{Name: "blank behind the name of a trailer", Raw: "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunked("X-Sum : 1\r\n"), InTrailers: true},
		{Name: "control byte in the name of a trailer", Raw: "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunked("X\x01Sum: 1\r\n"), InTrailers: true},
		{Name: "length behind a blank", Raw: "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 5\r\n\r\n" + Payload},
		{Name: "chunks behind a blank", Raw: "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\n\r\n" + chunked("")},
		{Name: "blank before the first name", Raw: "HTTP/1.1 200 OK\r\n X-Other: 1\r\n" + fields + length() + "\r\n" + Payload},
		{Name: "switching protocols", Raw: "HTTP/1.1 101 Switching Protocols\r\n" + fields + "\r\n" + framed("HTTP/1.1 200 OK")},
	}
	for _, line := range []string{
		"HTTP/1.1 000 Unknown", "HTTP/1.1 000", "HTTP/1.1 001 Unknown", "HTTP/1.1 099 Unknown", "HTTP/1.1 600 Unknown", "HTTP/1.1 999 Unknown",
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 +20 OK", "HTTP/1.1  OK", "HTTP/1.1 OK", "HTTP/1.1",
		"HTTP/2.0 200 OK", "HTTP/2 200 OK", "HTTP/0.9 200 OK", "HTTP/3.0 200 OK", "http/1.1 200 OK", "HTTP/11 200 OK", "HTTP/1.1\t200 OK", " HTTP/1.1 200 OK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x1bK", "HTTP/1.1 200 O\x7fK",
	} {
		out = append(out, Form{Name: fmt.Sprintf("status line %q", line), Raw: framed(line)})
	}
	for _, line := range []string{
		"X-Other : 1", "X-Other  : 1", "X-Other\t: 1", ": 1", "X-Other", "X-Other=1",
		"Content-Length : 5", "Content Length: 5", "Transfer-Encoding : chunked",
		"X-Other: a\x00b", "X-Other: a\rb", "X-Other: a\x01b", "X-Other: a\x7fb", "X-Other: a\r\n b\x00",
	} {
		out = append(out, Form{Name: fmt.Sprintf("field line %q", line), Raw: framed("HTTP/1.1 200 OK", "X-First: 1", line)})
	}
	for c := range 256 {
		if strings.IndexByte(tokenBytes, byte(c)) < 0 && c != '\n' && c != ':' {
			line := "X" + string([]byte{byte(c)}) + "Other: 1"
			out = append(out, Form{Name: fmt.Sprintf("field line %q", line), Raw: framed("HTTP/1.1 200 OK", "X-First: 1", line)})
		}
	}
	return out
}

// Valid returns responses that must be passed on whole, although some of them are unusual.
func Valid() []Form {
	form := func(name, raw string, status int) Form {
		return Form{Name: name, Raw: raw, Status: status, Body: Payload}
	}
	out := []Form{
		form("reason with a tab and 8-bit bytes", framed("HTTP/1.1 200 Tr\xe8s\tbien"), 200),
		form("no reason", framed("HTTP/1.1 200 "), 200),
		form("no reason and no blank", framed("HTTP/1.1 200"), 200),
		form("reason and length", framed("HTTP/1.1 200 OK"), 200),
		form("highest status", framed("HTTP/1.1 599 Unknown"), 599),
		form("HTTP/1.0", framed("HTTP/1.0 200 OK"), 200),
		form("later minor version", framed("HTTP/1.2 200 OK"), 200),
		form("later minor version with chunks", "HTTP/1.9 200 OK\r\n"+fields+"Transfer-Encoding: chunked\r\n\r\n"+chunked(""), 200),
		form("interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"+framed("HTTP/1.1 200 OK"), 200),
		form("chunks and trailers", "HTTP/1.1 200 OK\r\n"+fields+"Transfer-Encoding: chunked\r\n\r\n"+chunked("X-Sum: 1\r\n"+tokenBytes+": 1\r\n"), 200),
		form("empty lines before", "\r\n\n"+framed("HTTP/1.1 200 OK"), 200),
		form("line feeds", "HTTP/1.1 200 OK\nX-Other: 1\n"+fields+length()+"\r\n"+Payload, 200),
		form("no blank before the value", framed("HTTP/1.1 200 OK", "X-Other:1"), 200),
		form("empty value", framed("HTTP/1.1 200 OK", "X-Other:"), 200),
		form("colons, blanks, tabs and 8-bit bytes in a value", framed("HTTP/1.1 200 OK", "X-Other: \t: a \tb : \x80\xff "), 200),
		form("folded line", framed("HTTP/1.1 200 OK", "X-Other: a\r\n b c\r\n\td"), 200),
	}
	for _, c := range tokenBytes {
		out = append(out, form(fmt.Sprintf("name with %q", c), framed("HTTP/1.1 200 OK", "X"+string(c)+": 1", string(c)+": 1"), 200))
	}
	return out
}

// Unframed returns valid responses whose body ends with the connection.
func Unframed() []Form {
	return []Form{
		{Name: "HTTP/1.0 without a length", Raw: "HTTP/1.0 200 OK\r\n" + fields + "\r\n" + Payload, Status: 200, Body: Payload},
		{Name: "HTTP/1.1 without a length", Raw: "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + Payload, Status: 200, Body: Payload},
	}
}

// tokenBytes are the bytes that a field name may have (RFC 9110, section 5.6.2).
const tokenBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

func length() string { return fmt.Sprintf("Content-Length: %d\r\n", len(Payload)) }

// framed returns a response with the payload and its length.
func framed(statusLine string, lines ...string) string {
	raw := statusLine + "\r\n" + fields
	for _, l := range lines {
		raw += l + "\r\n"
	}
	return raw + length() + "\r\n" + Payload
}

// chunked returns the payload in chunks, with trailers.
func chunked(trailers string) string {
	half := len(Payload) / 2
	return fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n%s\r\n", half, Payload[:half], len(Payload)-half, Payload[half:], trailers)
}
