// Package request checks the framing of HTTP/1 requests before the HTTP library parses them. The library reads some invalid
// requests leniently, for example blanks in field names and lines that end with a bare LF. Another reader may find their end
// elsewhere, and take a part of one request for the next one (RFC 9112, section 11.2).
package request

import (
	"errors"
	"fmt"
	"io"
	"strings"
)

// ErrInvalid is wrapped by all errors of Checker. The request has no valid reading, or more than one.
var ErrInvalid = errors.New("the request is not valid HTTP")

type state uint8

const (
	requestStart state = iota // before the request line; one empty line is skipped
	requestStartLF
	method
	target
	version
	versionLF
	fieldStart // first byte of a field line, or the CR of the empty line
	fieldName
	fieldValue
	fieldLF
	headLF
	body // of a stated length
	chunkSize
	chunkExtension
	chunkBlank // blanks behind the size of a chunk
	chunkSizeLF
	chunkData
	chunkDataCR
	chunkDataLF
	trailerLF
)

const (
	maxMethodBytes = 32
	// maxSizeDigits and maxChunkDigits keep sizes within 63 bits.
	maxSizeDigits  = 18
	maxChunkDigits = 15
	// maxOverhead is how much of a chunked body may be framing beyond the bytes of its content. Bodies of very small chunks or
	// with long extensions cost far more to read than they carry.
	maxOverhead = 16 << 10
	// keptBytes holds the values of the fields that decide on the framing, and more than their names.
	keptBytes = 24
)

// Checker checks the requests of one connection, one behind the other. It uses constant memory. The zero value expects the
// start of a request.
type Checker struct {
	state    state
	err      error
	begun    bool // a byte of the method was read
	trailers bool // the fields are trailers
	skipped  bool // an empty line was skipped before the request
	http10   bool
	chunked  bool
	hasSize  bool // Content-Length was read
	hasHost  bool
	blank    bool // a blank was read behind the host
	field    field
	size     int64 // of the body or chunk, then what is left of it
	digits   int
	overhead int64
	length   int // bytes of the method, version, name or value so far
	kept     [keptBytes]byte
}

// field is a field that decides on the framing of a request.
type field uint8

const (
	otherField field = iota
	contentLength
	transferEncoding
	host
)

// Check checks the next bytes of the connection. It returns the number of valid bytes at their start, which is less than
// len(b) only with an error. The error stays.
func (c *Checker) Check(b []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	for i := 0; i < len(b); {
		if c.state == body || c.state == chunkData {
			n := int(min(c.size, int64(len(b)-i)))
			i += n
			c.size -= int64(n)
			c.overhead = max(0, c.overhead-int64(n))
			if c.size == 0 {
				c.endData()
			}
			continue
		}
		if c.state == fieldValue && c.field == otherField && texts[b[i]] { // most bytes of a head
			i++
			continue
		}
		if err := c.next(b[i]); err != nil {
			c.err = fmt.Errorf("%w: %w", ErrInvalid, err)
			return i, c.err
		}
		i++
	}
	return len(b), nil
}

func (c *Checker) endData() {
	if c.state == body {
		*c = Checker{}
		return
	}
	c.state = chunkDataCR
}

// next checks one byte that is no content of a body.
func (c *Checker) next(b byte) error {
	if c.chunked && c.state >= body {
		if c.overhead++; c.overhead > maxOverhead {
			return errors.New("the body has much more framing than content")
		}
	}
	switch c.state {
	case requestStart:
		if b == '\r' && !c.skipped {
			c.state = requestStartLF
			return nil
		}
		c.state = method
		return c.next(b)
	case requestStartLF:
		c.skipped, c.state = true, requestStart
		return expectLF(b)
	case method, target, version:
		return c.requestLine(b)
	case versionLF, fieldLF:
		c.length, c.field, c.state = 0, otherField, fieldStart
		return expectLF(b)
	case fieldStart:
		if b == '\r' {
			c.state = headLF
			if c.trailers {
				c.state = trailerLF
			}
			return nil
		}
		c.state = fieldName
		return c.next(b)
	case fieldName:
		return c.name(b)
	case fieldValue:
		return c.value(b)
	case headLF:
		if err := expectLF(b); err != nil {
			return err
		}
		return c.endHead()
	case chunkSize, chunkBlank, chunkExtension:
		return c.chunkLine(b)
	case chunkSizeLF:
		c.state = chunkData
		if c.size == 0 {
			c.state, c.trailers, c.length, c.field = fieldStart, true, 0, otherField
		}
		return expectLF(b)
	case chunkDataCR:
		c.state = chunkDataLF
		if b != '\r' {
			return errors.New("a chunk is longer than its size")
		}
	case chunkDataLF:
		c.startChunk()
		return expectLF(b)
	case trailerLF:
		*c = Checker{}
		return expectLF(b)
	}
	return nil
}

func expectLF(b byte) error {
	if b != '\n' {
		return errors.New("a CR is not followed by LF")
	}
	return nil
}

func (c *Checker) requestLine(b byte) error {
	c.length++
	switch {
	case c.state == version:
		return c.versionByte(b)
	case b == ' ' && c.length > 1:
		c.state, c.length = c.state+1, 0
	case c.state == method && (!isToken(b) || c.length > maxMethodBytes):
		return errors.New("the method is missing or not a token")
	case c.state == method:
		c.begun = true
	case c.state == target && (b <= ' ' || b >= 0x7f):
		return fmt.Errorf("the target is missing or has the byte %#x", b)
	}
	return nil
}

const versionText = "HTTP/1."

func (c *Checker) versionByte(b byte) error {
	switch {
	case c.length <= len(versionText) && b == versionText[c.length-1]:
	case c.length == len(versionText)+1 && (b == '0' || b == '1'):
		c.http10 = b == '0'
	case c.length == len(versionText)+2 && b == '\r':
		c.state = versionLF
	default:
		return errors.New("the version is not HTTP/1.0 or HTTP/1.1")
	}
	return nil
}

func (c *Checker) name(b byte) error {
	switch {
	case b == ':' && c.length > 0:
		return c.endName()
	case !isToken(b):
		return fmt.Errorf("a field name is empty or has the byte %#x", b)
	}
	c.keep(lower(b))
	return nil
}

// keep keeps a byte of a name or value that may decide on the framing.
func (c *Checker) keep(b byte) {
	if c.length < keptBytes {
		c.kept[c.length] = b
	}
	c.length++
}

// endName begins the value of a field.
func (c *Checker) endName() error {
	c.field = otherField
	seen := false
	switch string(c.kept[:min(c.length, keptBytes)]) {
	case "content-length":
		c.field, seen, c.hasSize = contentLength, c.hasSize, true
	case "transfer-encoding":
		c.field, seen, c.chunked = transferEncoding, c.chunked, true
	case "host":
		c.field, seen, c.hasHost = host, c.hasHost, true
	}
	c.state, c.length = fieldValue, 0
	switch {
	case c.field != otherField && c.trailers:
		return errors.New("a trailer decides on the framing")
	case seen:
		return errors.New("a field that decides on the framing or the host is repeated")
	}
	return nil
}

func (c *Checker) value(b byte) error {
	switch {
	case b == '\r':
		c.state = fieldLF
		return c.endValue()
	case !texts[b]:
		return fmt.Errorf("a field value has the byte %#x", b)
	case c.field == host:
		return c.hostByte(b)
	case c.field == contentLength || c.field == transferEncoding:
		if c.length > 0 || b != ' ' && b != '\t' {
			c.keep(lower(b))
		}
	}
	return nil
}

// hostByte checks a byte of the host. Blanks may only surround it.
func (c *Checker) hostByte(b byte) error {
	switch {
	case b == ' ' || b == '\t':
		c.blank = c.length > 0
		return nil
	case c.blank || strings.IndexByte("/?#@,\\", b) >= 0:
		return fmt.Errorf("the host has a blank or the byte %#x", b)
	}
	c.length++
	return nil
}

func (c *Checker) endValue() error {
	if c.field != contentLength && c.field != transferEncoding {
		return nil
	}
	n := c.length
	for n > 0 && n <= keptBytes && (c.kept[n-1] == ' ' || c.kept[n-1] == '\t') {
		n--
	}
	if n > keptBytes {
		return errors.New("Content-Length or Transfer-Encoding is out of range")
	}
	text := c.kept[:n]
	if c.field == transferEncoding {
		if string(text) != "chunked" {
			return fmt.Errorf("Transfer-Encoding is %q, only chunked is known", text)
		}
		return nil
	}
	if n == 0 || n > maxSizeDigits {
		return errors.New("Content-Length is empty or out of range")
	}
	c.size = 0
	for _, d := range text {
		if d < '0' || d > '9' {
			return fmt.Errorf("Content-Length is %q", text)
		}
		c.size = 10*c.size + int64(d-'0')
	}
	return nil
}

// endHead begins the body of a request, or the next request.
func (c *Checker) endHead() error {
	switch {
	case c.chunked && c.hasSize:
		return errors.New("both Content-Length and Transfer-Encoding are set")
	case c.chunked && c.http10:
		return errors.New("an HTTP/1.0 request has Transfer-Encoding")
	case !c.hasHost && !c.http10:
		return errors.New("the host is missing")
	case c.chunked:
		c.startChunk()
	case c.size > 0:
		c.state = body
	default:
		*c = Checker{}
	}
	return nil
}

func (c *Checker) startChunk() { c.state, c.size, c.digits = chunkSize, 0, 0 }

func (c *Checker) chunkLine(b byte) error {
	digit, isDigit := hexDigit(b)
	switch {
	case b == '\r' && c.digits > 0 && c.state != chunkBlank:
		c.state = chunkSizeLF
	case c.state == chunkExtension:
		if !texts[b] {
			return fmt.Errorf("a chunk extension has the byte %#x", b)
		}
	case b == ';' && c.digits > 0:
		c.state = chunkExtension
	case (b == ' ' || b == '\t') && c.digits > 0:
		c.state = chunkBlank
	case isDigit && c.state == chunkSize && c.digits < maxChunkDigits:
		c.size, c.digits = 16*c.size+digit, c.digits+1
	default:
		return errors.New("the size of a chunk is missing, out of range or no number")
	}
	return nil
}

func hexDigit(b byte) (int64, bool) {
	switch b = lower(b); {
	case b >= '0' && b <= '9':
		return int64(b - '0'), true
	case b >= 'a' && b <= 'f':
		return int64(b-'a') + 10, true
	}
	return 0, false
}

func lower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

// tokens holds the bytes of a token (RFC 9110, section 5.6.2).
var tokens = func() (out [256]bool) {
	for b := byte('0'); b <= 'z'; b++ {
		out[b] = b <= '9' || b >= 'a' || b >= 'A' && b <= 'Z'
	}
	for _, b := range []byte("!#$%&'*+-.^_`|~") {
		out[b] = true
	}
	return out
}()

// texts holds the bytes of field values and chunk extensions (RFC 9110, section 5.5).
var texts = func() (out [256]bool) {
	for i := range out {
		out[i] = i >= ' ' && i != 0x7f || i == '\t'
	}
	return out
}()

func isToken(b byte) bool { return tokens[b] }

// Reader passes on the bytes of a connection up to the first one that Checker rejects, and then fails with its error.
type Reader struct {
	Source  io.Reader
	checker Checker
	err     error
}

// Read reads bytes of valid requests.
func (r *Reader) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.Source.Read(b)
	valid, invalid := r.checker.Check(b[:n])
	if invalid == nil {
		return n, err
	}
	r.err = invalid
	if valid > 0 {
		return valid, nil
	}
	return 0, invalid
}

// Err returns the error of the first invalid byte that was read, or nil.
func (r *Reader) Err() error { return r.err }

// Begun reports whether a byte of the invalid request was passed on, besides an empty line.
func (r *Reader) Begun() bool { return r.checker.begun }
