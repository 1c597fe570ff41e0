package request

const (
	// coveredFields is the number of fields that the memory of every request covers. Clients and the system send fewer.
	coveredFields = 64
	// fieldBytes is the memory of one more field while its request is handled: 90 bytes where it is decoded and in each of up to three
	// copies (the request that is sent on, its copy at a gate in the same process, and the one for the upstream), and as much
	// again as garbage of the slices that grew while it was decoded.
	fieldBytes = 640
)

// CountFields returns how many fields, cookies and elements of lists a header, or a part of it, may have. Each is decoded to a
// value of its own.
func CountFields(header []byte) (n int) {
	for _, b := range header {
		if b == '\n' || b == ';' || b == ',' {
			n++
		}
	}
	return n
}

// FieldMemory returns the memory in bytes of a number of decoded fields beyond those that the memory of every request covers.
func FieldMemory(fields int) int64 { return int64(max(0, fields-coveredFields)) * fieldBytes }

// InHeader reports whether the next byte belongs to the header of a request.
func (r *Reader) InHeader() bool { return r.checker.state < body && !r.checker.trailers }
