package body

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"sync"

	"github.com/valyala/fasthttp"
)

// ErrTooLarge says that there is no memory for the rest of the body.
var ErrTooLarge = errors.New("the body of the response is larger than the memory for it")

// blocks are read into, so that memory is taken for bytes that have come, not for those that are announced.
var blocks = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// Read reads the body of a response whose header has been read, with its trailers.
func Read(br *bufio.Reader, r *fasthttp.Response, l *Lease) error {
	length := r.Header.ContentLength()
	switch {
	case length >= 0 && length <= smallBody:
		return r.ReadBody(br, smallBody)
	case length >= 0:
		if !l.reserve(int64(length)) {
			return ErrTooLarge
		}
		n, err := appendBody(r, io.LimitReader(br, int64(length)), l)
		if err == nil && n < int64(length) {
			return io.ErrUnexpectedEOF
		}
		return err
	case length == -1:
		if _, err := appendBody(r, httputil.NewChunkedReader(br), l); err != nil {
			return err
		}
		return r.Header.ReadTrailer(br)
	default: // ends with the connection
		_, err := appendBody(r, br, l)
		return err
	}
}

func appendBody(r *fasthttp.Response, from io.Reader, l *Lease) (size int64, err error) {
	block := blocks.Get().(*[]byte)
	defer blocks.Put(block)
	for {
		n, err := from.Read(*block)
		size += int64(n)
		if !l.reserve(size) {
			return size, ErrTooLarge
		}
		r.AppendBody((*block)[:n])
		if err == io.EOF {
			return size, nil
		}
		if err != nil {
			return size, err
		}
	}
}
