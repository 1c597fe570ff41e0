package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

type recordType byte

const (
	recordEntry        recordType = 1 // Entry
	recordBatch        recordType = 2 // marks the start of a write: offset of this record in its segment; everything before it is synced
	recordSnapshot     recordType = 3 // index and term of a snapshot; the log restarts at the index after it
	recordMeta         recordType = 4 // DiskMeta, the content of the file meta
	recordSnapshotFile recordType = 5 // DiskSnapshot, the content of a snapshot file
)

const (
	headerBytes    = 9 // length (4), type (1), checksum of type and payload (4)
	batchBytes     = 8 // payload of a batch record: an offset
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptionError reports damage to data that was acknowledged as durable.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

func checksum(t recordType, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte{byte(t)}, castagnoli), castagnoli, payload)
}

func appendRecord(b []byte, t recordType, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = append(b, byte(t))
	b = binary.BigEndian.AppendUint32(b, checksum(t, payload))
	return append(b, payload...)
}

// readRecord decodes the record at the start of b. When the record is damaged or
// truncated, size is 0 and reason says what is wrong.
func readRecord(b []byte) (t recordType, payload []byte, size int, reason string) {
	if len(b) < headerBytes {
		return 0, nil, 0, "the record header is truncated"
	}
	n := int(binary.BigEndian.Uint32(b))
	t = recordType(b[4])
	switch {
	case n > maxRecordBytes || t < recordEntry || t > recordSnapshotFile:
		return 0, nil, 0, "the record header is damaged"
	case len(b) < headerBytes+n:
		return 0, nil, 0, "the record is truncated"
	}
	payload = b[headerBytes : headerBytes+n]
	if checksum(t, payload) != binary.BigEndian.Uint32(b[5:]) {
		return 0, nil, 0, "the checksum does not match"
	}
	return t, payload, headerBytes + n, ""
}

// batchFollows reports whether a valid batch record follows the damaged record at
// offset from. A batch record is written only after everything before it was
// synced, so damage that precedes one is corruption and not a torn write.
func batchFollows(b []byte, from int) bool {
	for i := from + 1; i+headerBytes+batchBytes <= len(b); i++ {
		if b[i+4] != byte(recordBatch) || binary.BigEndian.Uint32(b[i:]) != batchBytes {
			continue
		}
		if _, p, _, reason := readRecord(b[i:]); reason == "" && binary.BigEndian.Uint64(p) == uint64(i) {
			return true
		}
	}
	return false
}
