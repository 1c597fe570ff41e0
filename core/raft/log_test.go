package raft

import (
	"testing"

	"github.com/matryer/is"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Guards against a log whose size only the number of its entries bounds: entries can be large.
func TestCompactionKeepsWithinBytes(t *testing.T) {
	for _, c := range []struct {
		name     string
		index    uint64
		keep     Keep
		want     uint64 // first index that is left
		wantSize int
	}{
		{"entries only", 8, Keep{Entries: 3}, 6, 50},
		{"bytes before entries", 8, Keep{Entries: 5, Bytes: 25}, 7, 40},
		{"less than one entry", 8, Keep{Entries: 5, Bytes: 9}, 9, 20},
		{"entries before bytes", 8, Keep{Entries: 2, Bytes: 1000}, 7, 40},
		{"all of them", 8, Keep{Entries: 100, Bytes: 1000}, 1, 100},
		{"none", 8, Keep{}, 9, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newLog(Stored{})
			for i := range uint64(10) {
				l.append(&pb.Entry{Index: i + 1, Term: 1, Payload: make([]byte, 10)})
			}
			is.Equal(l.bytes, 100)
			l.compact(Snapshot{Index: c.index, Term: 1}, c.keep)
			is.Equal(l.offset+1, c.want)
			is.Equal(l.last(), uint64(10))
			is.Equal(l.bytes, c.wantSize)
			l.truncate(10)
			is.Equal(l.bytes, c.wantSize-10)
		})
	}
}
