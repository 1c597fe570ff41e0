package meshhttp

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/request"
)

// readHeader reads the header of an exchange into a buffer that grows as needed, and takes the memory of its decoded form before it
// is decoded. Many fields are counted as a large message, so that they leave room for ordinary requests.
func (c *conn) readHeader(x *Exchange) error {
	header, err := c.awaitHeader()
	if err != nil {
		return err
	}
	if n := request.FieldMemory(request.CountFields(header)); n > 0 {
		if !body.Take(c.server.options.Account, c.holder, n, true) {
			c.server.count(noMemory)
			return body.ErrTooLarge
		}
		x.heldFields = n
	}
	return x.Request.Header.Read(c.br)
}

// awaitHeader waits for a whole header and returns its bytes, which stay in the read buffer. If the header does not end, because it is
// too long or the connection fails, it returns what has arrived; reading that gives the error.
func (c *conn) awaitHeader() ([]byte, error) {
	searched := 0
	for {
		arrived, err := c.br.Peek(c.br.Buffered())
		if err != nil {
			return nil, err
		}
		if end := bytes.Index(arrived[searched:], headerEnd); end >= 0 {
			return arrived[:searched+end], nil
		}
		searched = max(0, len(arrived)-len(headerEnd)+1)
		if len(arrived) == c.br.Size() {
			if c.br.Size() >= c.maxHeader() {
				return arrived, nil
			}
			if err := c.growBuffer(arrived); err != nil {
				return nil, err
			}
		}
		if _, err := c.br.Peek(len(arrived) + 1); err != nil {
			return arrived, nil
		}
	}
}

// headerEnd ends a header. The reader of the connection accepts no bare LF.
var headerEnd = []byte("\r\n\r\n")

// growBuffer replaces the read buffer, which holds arrived, by one for the largest header.
func (c *conn) growBuffer(arrived []byte) error {
	most := c.maxHeader()
	if !c.take(int64(most)) {
		return body.ErrTooLarge
	}
	c.holder.Add(-c.grown, false, time.Time{})
	c.br, c.grown = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(arrived)), c.input), most), int64(most)
	_, err := c.br.Peek(len(arrived))
	return err
}

// shrinkBuffer replaces a read buffer that has grown once it is empty.
func (c *conn) shrinkBuffer() {
	if c.br == c.usual || c.br.Buffered() > 0 {
		return
	}
	c.holder.Add(-c.grown, false, time.Time{})
	c.usual.Reset(c.input)
	c.br, c.grown = c.usual, 0
}
