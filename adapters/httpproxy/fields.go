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
		end := len(b)
		if i := bytes.Index(append(f.tail, b...), headerEnd); i >= 0 {
			end = min(end, i+len(headerEnd)-len(f.tail))
		}
		f.fields += request.CountFields(b[:end])
		most = f.fields
		if inHeaderAfter && end == len(b) {
			f.tail = append(f.tail, b[max(0, len(b)-len(headerEnd)+1):]...)
			f.tail = bytes.Clone(f.tail[max(0, len(f.tail)-len(headerEnd)+1):])
			return most
		}
		b = b[end:]
	}
	f.fields, f.tail = 0, nil
	if inHeaderAfter {
		f.fields = request.CountFields(b)
		f.tail = bytes.Clone(b[max(0, len(b)-len(headerEnd)+1):])
		return max(most, f.fields)
	}
	if bytes.Contains(b, headerEnd) {
		return max(most, request.CountFields(b))
	}
	return most
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
