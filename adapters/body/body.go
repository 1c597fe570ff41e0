package body

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"sync"

	"github.com/valyala/fasthttp"
)

// ErrTooLarge is returned when a body of more than 64 KiB exceeds a quarter of the limit of the Memory, or
// when other bodies leave too little of it.
var ErrTooLarge = errors.New("the body of the response is larger than the memory for it")

// blockPool holds read buffers of 16 KiB. Bodies are read block by block, so that memory is allocated for bytes received, not for the stated length.
var blockPool = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// Read reads the body and the trailers of a response whose header has been read. The lease
// holds the memory of a body of more than 64 KiB until the caller releases it. Read returns
// ErrTooLarge if there is no memory left and io.ErrUnexpectedEOF if the body is shorter
// than the stated length. After an error the response has no body.
func Read(br *bufio.Reader, r *fasthttp.Response, l *Lease) error {
	err := read(br, r, l)
	if err != nil {
		Discard(r)
		l.Release()
	}
	return err
}

func read(br *bufio.Reader, r *fasthttp.Response, l *Lease) error {
	length := int64(r.Header.ContentLength())
	switch {
	case length >= 0 && length <= uncountedBytes:
		return r.ReadBody(br, uncountedBytes)
	case length >= 0:
		if !l.allows(length) {
			return ErrTooLarge
		}
		n, err := appendBody(r, io.LimitReader(br, length), length, l)
		if err == nil && n < length {
			return io.ErrUnexpectedEOF
		}
		return err
	case length == -1:
		if _, err := appendBody(r, httputil.NewChunkedReader(br), 0, l); err != nil {
			return err
		}
		return r.Header.ReadTrailer(br)
	default: // no length: the body ends with the connection
		_, err := appendBody(r, br, 0, l)
		return err
	}
}

// Discard removes the body of a response. The memory of a large one goes back to the runtime and not to the pool of the
// HTTP library, whose buffers small bodies would hold without a lease.
func Discard(r *fasthttp.Response) {
	if cap(r.Body()) > uncountedBytes {
		r.SwapBody(nil)
	}
	r.ResetBody()
}

// appendBody reads the body of a response. length is its stated length, 0: none.
func appendBody(r *fasthttp.Response, src io.Reader, length int64, l *Lease) (size int64, err error) {
	block := blockPool.Get().(*[]byte)
	defer blockPool.Put(block)
	var large []byte // the whole body, once it has more than uncountedBytes
	for {
		n, err := src.Read(*block)
		size += int64(n)
		switch {
		case size <= uncountedBytes:
			r.AppendBody((*block)[:n])
		default:
			if large == nil {
				large = r.SwapBody(nil)
			}
			var ok bool
			if large, ok = l.extend(large, (*block)[:n], length); !ok {
				return size, ErrTooLarge
			}
		}
		if err == nil {
			continue
		}
		if large != nil {
			r.SwapBody(large)
		}
		if err == io.EOF {
			err = nil
		}
		return size, err
	}
}

// extend appends a part to a body and holds the memory for it, while the buffer grows that of the old one too. length is
// the stated length of the whole body, 0: none. It returns false if there is no memory left.
func (l *Lease) extend(b, part []byte, length int64) ([]byte, bool) {
	size := int64(len(b) + len(part))
	if size <= int64(cap(b)) {
		return append(b, part...), true
	}
	if !l.allows(size) {
		return nil, false
	}
	grown := max(size, min(max(4*uncountedBytes, 2*int64(cap(b))), max(length, l.memory.limit/largestShare)))
	if length > 0 {
		grown = min(grown, length)
	}
	if !l.hold(int64(cap(b)) + grown) {
		return nil, false
	}
	out, ok := l.memory.allocate(grown)
	if !ok {
		return nil, false
	}
	l.hold(grown)
	return append(append(out, b...), part...), true
}
