package response

import (
	"bufio"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// maxInterim is the number of interim (1xx) responses accepted before the final one.
const maxInterim = 8

var errTooManyInterim = fmt.Errorf("more than %d interim responses", maxInterim)

// ReadHeader reads the header of the final response and skips interim responses before it. The buffer
// of br bounds the size of each header. An error of the connection is returned unchanged if no byte of a
// header was read, and wrapped otherwise.
func ReadHeader(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterim + 1 {
		if err := readOne(br, h); err != nil {
			return err
		}
		if h.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return errTooManyInterim
}

// readOne reads one header, which may be that of an interim response.
func readOne(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	if err := peek(br, &lines{}); err != nil {
		return err
	}
	return h.Read(br)
}

// ReadTrailer reads the trailers behind the last chunk of a response and the empty line that ends them. It
// returns io.ErrUnexpectedEOF if the connection ends before the first byte.
func ReadTrailer(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	switch err := peek(br, &lines{fields: true}); err {
	case nil:
		return h.ReadTrailer(br)
	case io.EOF:
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}

// peek checks lines without consuming them and returns nil once they are complete.
func peek(br *bufio.Reader, l *lines) error {
	for n := 1; ; n = br.Buffered() + 1 {
		_, readErr := br.Peek(n)
		b, _ := br.Peek(br.Buffered())
		if err := l.check(b); err != nil {
			return err
		}
		switch {
		case l.complete:
			return nil
		case readErr != nil && len(b) == 0:
			return readErr
		case readErr != nil:
			return fmt.Errorf("the lines end after %d bytes: %w", len(b), readErr)
		}
	}
}

// Read reads a whole response to a request with the given method. It is for clients that read
// responses of moderate size; their memory has no bound.
func Read(br *bufio.Reader, r *fasthttp.Response, method string) error {
	r.Reset()
	if err := ReadHeader(br, &r.Header); err != nil {
		return err
	}
	if status := r.StatusCode(); method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	if err := r.ReadBody(br, 0); err != nil {
		return err
	}
	if r.Header.ContentLength() == -1 {
		return ReadTrailer(br, &r.Header)
	}
	return nil
}
