package httpproxy

import (
	"bytes"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/request"
)

// headerEnd ends a header. The reader of a connection accepts no bare LF.
var headerEnd = []byte("\r\n\r\n")

// fieldCounter counts the fields of the headers that arrive on a connection.
type fieldCounter struct {
	fields int    // of the header in progress
	tail   []byte // the last bytes of the header in progress, which may begin its end
}

// count counts the bytes of one read and returns the largest number of fields of a header in them. inHeader states whether the first
// byte, and the byte behind the last one, belongs to a header. Bytes between two headers count as one if they may hold a header.
func (f *fieldCounter) count(b []byte, inHeader, inHeaderAfter bool) int {
	most := 0
	if inHeader {
		i := bytes.Index(append(f.tail, b...), headerEnd)
		if i < 0 {
			f.fields += request.CountFields(b)
			f.keepTail(b)
			return f.fields
		}
		end := max(0, i+len(headerEnd)-len(f.tail))
		most = f.fields + request.CountFields(b[:end])
		b = b[end:]
	}
	f.fields, f.tail = 0, nil
	if inHeaderAfter {
		f.fields = request.CountFields(b)
		f.keepTail(b)
		return max(most, f.fields)
	}
	if bytes.Contains(b, headerEnd) {
		return max(most, request.CountFields(b))
	}
	return most
}

// keepTail keeps the last bytes that were read.
func (f *fieldCounter) keepTail(b []byte) {
	f.tail = append(f.tail, b[max(0, len(b)-len(headerEnd)+1):]...)
	f.tail = bytes.Clone(f.tail[max(0, len(f.tail)-len(headerEnd)+1):])
}

// takeFields takes the memory of decoded fields. It is held until the connection closes, because the HTTP library keeps
// the slices for the next request.
func (c *serverConn) takeFields(fields int) bool {
	additional := request.FieldMemory(fields) - c.fieldsHeld
	if additional <= 0 {
		return true
	}
	if !body.Take(c.server.account, c.holder, additional, true) {
		return false
	}
	c.fieldsHeld += additional
	return true
}
