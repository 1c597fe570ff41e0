package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

type recordType byte

const (
	recordEntry    recordType = 1 // Entry
	recordBatch    recordType = 2 // offset of this record; everything before it is synced
	recordSnapshot recordType = 3 // index and term; the log starts anew after a snapshot of the leader
	recordMeta     recordType = 4 // DiskMeta
	recordSnapFile recordType = 5 // DiskSnapshot
)

const (
	headerBytes    = 9 // length (4), type (1), checksum of type and payload (4)
	batchBytes     = 8
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptionError is damage to data that was acknowledged.
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

// readRecord reads the record at the start of b; size is 0 and reason set when it is damaged or cut.
func readRecord(b []byte) (t recordType, payload []byte, size int, reason string) {
	if len(b) < headerBytes {
		return 0, nil, 0, "the record header is cut"
	}
	n := int(binary.BigEndian.Uint32(b))
	t = recordType(b[4])
	switch {
	case n > maxRecordBytes || t < recordEntry || t > recordSnapFile:
		return 0, nil, 0, "the record header is damaged"
	case len(b) < headerBytes+n:
		return 0, nil, 0, "the record is cut"
	}
	payload = b[headerBytes : headerBytes+n]
	if checksum(t, payload) != binary.BigEndian.Uint32(b[5:]) {
		return 0, nil, 0, "the checksum does not match"
	}
	return t, payload, headerBytes + n, ""
}

// batchAfter tells whether a batch record follows a damaged record. A batch is
// written only after everything before it was synced, so the damage is then not
// a torn write.
func batchAfter(b []byte, from int) bool {
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
