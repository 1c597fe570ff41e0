package body

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"sync"

	"github.com/valyala/fasthttp"
)

// ErrTooLarge is returned when a body of more than 64 KiB exceeds half of the limit of the Memory, or
// when other bodies leave too little of it.
var ErrTooLarge = errors.New("the body of the response is larger than the memory for it")

// blockPool holds read buffers of 16 KiB. Bodies are read block by block, so that memory is allocated for bytes received, not for the stated length.
var blockPool = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// Read reads the body and the trailers of a response whose header has been read. What
// exceeds 64 KiB is reserved in the lease, which the caller releases. Read returns
// ErrTooLarge if there is no memory left and io.ErrUnexpectedEOF if the body is shorter
// than the stated length.
func Read(br *bufio.Reader, r *fasthttp.Response, l *Lease) error {
	length := r.Header.ContentLength()
	switch {
	case length >= 0 && length <= uncountedBytes:
		return r.ReadBody(br, uncountedBytes)
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
	default: // no length: the body ends with the connection
		_, err := appendBody(r, br, l)
		return err
	}
}

func appendBody(r *fasthttp.Response, src io.Reader, l *Lease) (size int64, err error) {
	block := blockPool.Get().(*[]byte)
	defer blockPool.Put(block)
	for {
		n, err := src.Read(*block)
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
