package config

import (
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"
)

const (
	// minCompressBytes is the minimum size of a payload that is compressed. For
	// smaller ones the overhead of a zstd frame exceeds the savings.
	minCompressBytes = 128
	// maxDecodedBytes bounds the decompressed size of a payload, so that a small faulty payload
	// cannot exhaust the memory.
	maxDecodedBytes = 64 << 20
)

// ErrPayload reports a damaged payload, which cannot be decompressed or decoded.
var ErrPayload = errors.New("payload of the configuration is damaged")

var encoder = sync.OnceValue(func() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedBetterCompression))
	if err != nil { // only invalid options fail
		panic(err)
	}
	return e
})

var decoder = sync.OnceValue(func() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecodedBytes))
	if err != nil { // only invalid options fail
		panic(err)
	}
	return d
})

// Encode returns the encoded delta or configuration. When compress is set, the
// payload is compressed if that makes it smaller; compressed reports whether it was.
func Encode(m proto.Message, compress bool) (payload []byte, compressed bool, err error) {
	payload, err = proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrPayload, err)
	}
	if !compress || len(payload) < minCompressBytes {
		return payload, false, nil
	}
	if small := encoder().EncodeAll(payload, nil); len(small) < len(payload) {
		return small, true, nil
	}
	return payload, false, nil
}

// Decode decodes a payload that Encode produced into m. Its errors wrap ErrPayload.
func Decode(payload []byte, compressed bool, m proto.Message) error {
	if compressed {
		var err error
		if payload, err = decoder().DecodeAll(payload, nil); err != nil {
			return fmt.Errorf("%w: %w", ErrPayload, err)
		}
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return fmt.Errorf("%w: %w", ErrPayload, err)
	}
	return nil
}
