package config

import (
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"
)

const (
	// minCompressBytes is the size from which compression is tried; below it the
	// frame of zstd costs more than it saves.
	minCompressBytes = 128
	// maxDecodedBytes bounds what a compressed payload may expand to.
	maxDecodedBytes = 64 << 20
)

// ErrPayload says that a payload is damaged: it can not be decompressed or decoded.
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

// Encode a delta or configuration; it is compressed when that is wanted and makes it smaller.
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

// Decode the payload that Encode made into m.
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
