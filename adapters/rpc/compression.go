package rpc

import (
	"io"

	"connectrpc.com/connect"
	"github.com/klauspost/compress/zstd"
)

const (
	zstdName = "zstd"
	// zstdWindowBytes bounds the memory of an encoder and covers the messages of one exchange between control hosts, which have
	// a few KB except for the first one.
	zstdWindowBytes = 64 << 10
	// zstdMinBytes is the size from which a message is compressed. Two records of nodes already share most of their bytes.
	zstdMinBytes = 256
)

// ZstdFor returns the option for handlers of which one procedure has responses of many similar records. Its responses are
// compressed for clients with AcceptZstd, those of the other procedures are not.
func ZstdFor(procedure string) connect.HandlerOption {
	return connect.WithConditionalHandlerOptions(func(s connect.Spec) []connect.HandlerOption {
		if s.Procedure != procedure {
			return []connect.HandlerOption{NoCompression()}
		}
		return []connect.HandlerOption{
			NoCompression(), connect.WithCompression(zstdName, newZstdReader, newZstdWriter), connect.WithCompressMinBytes(zstdMinBytes),
		}
	})
}

// AcceptZstd returns the option for clients that accept responses compressed with zstd.
func AcceptZstd() connect.ClientOption {
	return connect.WithAcceptCompression(zstdName, newZstdReader, newZstdWriter)
}

func newZstdWriter() connect.Compressor {
	w, err := zstd.NewWriter(io.Discard, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(zstdWindowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil { // only invalid options fail
		panic(err)
	}
	return w
}

func newZstdReader() connect.Decompressor {
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxMessageBytes))
	if err != nil { // only invalid options fail
		panic(err)
	}
	return &zstdReader{r}
}

// zstdReader can be used again after Close, as connect requires; a closed zstd.Decoder cannot.
type zstdReader struct{ *zstd.Decoder }

func (r *zstdReader) Close() error { return r.Reset(nil) }
