package body

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/bits"
	"net/http/httputil"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/response"
)

// ErrTooLarge is returned when a body of more than 64 KiB exceeds the share of the Memory that one body may use, or
// when other bodies leave too little of it.
var ErrTooLarge = errors.New("the body is larger than the memory for it")

// ErrNoRoom is the ErrTooLarge of a response body of at most 64 KiB: the account of its connection has no room for it. It tells
// nothing about the destination that sent the body.
var ErrNoRoom = fmt.Errorf("no room for the response at the moment: %w", ErrTooLarge)

// blockPool holds read buffers of 16 KiB. Bodies are read block by block, so that memory is allocated for bytes received, not for the stated length.
var blockPool = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// Read reads the body and the trailers of a response whose header has been read. The lease
// holds the memory of a body of more than 64 KiB until the caller releases it, and that of one of
// more than CoveredBytes if it is the lease of a connection. Read returns
// ErrTooLarge or ErrNoRoom if there is no memory left and io.ErrUnexpectedEOF if the body is shorter
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
	case length >= 0 && length <= UncountedBytes:
		if length > CoveredBytes && !l.holdSmall(bufferBytes(length)) {
			return ErrNoRoom
		}
		return r.ReadBody(br, UncountedBytes)
	case length >= 0:
		if !l.allows(length) {
			return ErrTooLarge
		}
		return appendFixed(r, br, length, l)
	case length == -1:
		if _, err := appendBody(r, httputil.NewChunkedReader(br), 0, l); err != nil {
			return err
		}
		return response.ReadTrailer(br, &r.Header)
	default: // no length: the body ends with the connection
		_, err := appendBody(r, br, 0, l)
		return err
	}
}

// CheckRequest reports whether a request whose header has been read can have the body whose length it states. The error is
// fasthttp.ErrBodyTooLarge for one of more than limit bytes, and for one that never fits into the memory. It is ErrTooLarge if
// too little of it is left at the moment.
func CheckRequest(r *fasthttp.Request, limit int, l *Lease) error {
	length := int64(r.Header.ContentLength())
	switch {
	case length > int64(limit) || !l.allows(length):
		return fasthttp.ErrBodyTooLarge
	case length > UncountedBytes && !l.fits(length):
		return ErrTooLarge
	}
	return nil
}

// ReadRequest reads the body and the trailers of a request that CheckRequest has accepted, with a lease as in Read. It returns
// the errors of CheckRequest for a body whose length is not stated. After an error the request has no body.
func ReadRequest(br *bufio.Reader, r *fasthttp.Request, limit int, l *Lease) error {
	err := readRequest(br, r, int64(limit), l)
	if err != nil {
		r.SwapBody(nil)
		l.Release()
	}
	return err
}

func readRequest(br *bufio.Reader, r *fasthttp.Request, limit int64, l *Lease) error {
	length := int64(r.Header.ContentLength())
	switch {
	case length > UncountedBytes:
		return appendFixed(r, br, length, l)
	case length > 0 && !l.holdSmall(bufferBytes(length)), length == -1 && !l.holdSmall(UncountedBytes):
		return ErrTooLarge
	case length == -1:
		l.most = min(limit, max(UncountedBytes, l.memory.largest))
		size, err := appendBody(r, &limitedReader{src: httputil.NewChunkedReader(br), left: limit}, 0, l)
		switch {
		case err != nil && !l.allows(size):
			return fasthttp.ErrBodyTooLarge
		case err != nil:
			return err
		case size == 0:
			r.Header.SetContentLength(0)
		}
		return unexpected(r.Header.ReadTrailer(br))
	default:
		return r.ContinueReadBody(br, int(limit), false)
	}
}

// ReadStream reads the body of a request from a stream that ends with it, and makes it the body of the request. length is its
// stated length, or negative. The errors are those of ReadRequest.
func ReadStream(src io.Reader, r *fasthttp.Request, length, limit int64, l *Lease) error {
	if length > limit || !l.allows(length) {
		return fasthttp.ErrBodyTooLarge
	}
	l.most = min(limit, max(UncountedBytes, l.memory.largest))
	var read fasthttp.Request // the stream belongs to r, which would close it
	size, err := appendBody(&read, &limitedReader{src: src, left: limit}, max(length, 0), l)
	switch {
	case err != nil && !l.allows(size):
		err = fasthttp.ErrBodyTooLarge
	case err == nil && length >= 0 && size < length:
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		l.Release()
		return err
	}
	r.SetBodyRaw(read.Body())
	return nil
}

// bufferBytes returns the size of the buffer that the HTTP library allocates for a body of a stated length.
func bufferBytes(length int64) int64 { return 1 << bits.Len64(uint64(length-1)) }

// unexpected turns the end of the input into an error that does not look like the regular end.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// limitedReader fails when more bytes are read than are left.
type limitedReader struct {
	src  io.Reader
	left int64
}

func (l *limitedReader) Read(b []byte) (int, error) {
	n, err := l.src.Read(b)
	if l.left -= int64(n); l.left < 0 {
		return 0, fasthttp.ErrBodyTooLarge
	}
	return n, err
}

// Discard removes the body of a response. The memory of a large one goes back to the runtime and not to the pool of the
// HTTP library, whose buffers small bodies would hold without a lease.
func Discard(r *fasthttp.Response) {
	if cap(r.Body()) > UncountedBytes {
		r.SwapBody(nil)
	}
	r.ResetBody()
}

// message is a request or a response.
type message interface {
	AppendBody(part []byte)
	SwapBody(body []byte) (old []byte)
	SetBodyRaw(body []byte)
}

// appendFixed reads a body of a stated length.
func appendFixed(r message, br *bufio.Reader, length int64, l *Lease) error {
	n, err := appendBody(r, io.LimitReader(br, length), length, l)
	if err == nil && n < length {
		return io.ErrUnexpectedEOF
	}
	return err
}

// appendBody reads the body of a message. length is its stated length, 0: none.
func appendBody(r message, src io.Reader, length int64, l *Lease) (size int64, err error) {
	if l.memory.mapped && length > UncountedBytes {
		return l.readMapped(r, src, nil, length)
	}
	block := blockPool.Get().(*[]byte)
	defer blockPool.Put(block)
	small := int64(UncountedBytes) // the buffer of a body of at most as many bytes
	if length > 0 {
		small = min(small, bufferBytes(length))
	}
	var large []byte // the whole body, once it has more than UncountedBytes
	for {
		n, err := src.Read(*block)
		size += int64(n)
		switch {
		case size <= UncountedBytes:
			if size > CoveredBytes && !l.holdSmall(small) {
				return size, ErrNoRoom
			}
			r.AppendBody((*block)[:n])
		default:
			if l.memory.mapped {
				return l.readMapped(r, src, append(r.SwapBody(nil), (*block)[:n]...), l.most)
			}
			if large == nil {
				large = slices.Clip(r.SwapBody(nil)) // the rest of its capacity is not counted
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

// wholeBufferShare is the part of a body of a stated length, as a divisor, after which its whole buffer is allocated. Until then
// the buffer grows with the bytes received, so that a stated length alone holds no memory.
const wholeBufferShare = 64

// extend appends a part to a body and holds the memory for it. length is the stated length of the whole body, 0: none. It
// returns false if there is no memory left.
func (l *Lease) extend(b, part []byte, length int64) ([]byte, bool) {
	size := int64(len(b) + len(part))
	if size <= int64(cap(b)) {
		return append(b, part...), true
	}
	if !l.allows(size) {
		return nil, false
	}
	grown := max(size, min(max(4*UncountedBytes, 2*int64(cap(b))), max(length, l.memory.largest)))
	if length > 0 {
		grown = min(grown, length)
	}
	if size >= length/wholeBufferShare && length > 0 {
		grown = length // one copy of a small part, instead of one of a half
	}
	if !l.hold(grown + int64(cap(b))) {
		return nil, false
	}
	out, ok := l.memory.allocate(grown)
	if !ok {
		return nil, false
	}
	l.hold(grown)
	return append(append(out, b...), part...), true
}
