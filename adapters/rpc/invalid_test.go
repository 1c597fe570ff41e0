package rpc

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/emptypb"
)

// HTTP/2 frame types and flags (RFC 9113, section 6).
const (
	frameHeaders  = 1
	frameSettings = 4
	endStream     = 0x1
	endHeaders    = 0x4
)

func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	b = append(b, flags)
	return append(binary.BigEndian.AppendUint32(b, stream), payload...)
}

// fields encodes fields as literals without indexing (RFC 7541, section 6.2.2).
func fields(pairs ...string) []byte {
	var b []byte
	for i := 0; i < len(pairs); i += 2 {
		b = append(b, 0, byte(len(pairs[i])))
		b = append(b, pairs[i]...)
		b = append(b, byte(len(pairs[i+1])))
		b = append(b, pairs[i+1]...)
	}
	return b
}

// awaitHeaders reads frames until a request has begun.
func awaitHeaders(c net.Conn) error {
	preface := make([]byte, len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"))
	if _, err := io.ReadFull(c, preface); err != nil {
		return err
	}
	for {
		var head [9]byte
		if _, err := io.ReadFull(c, head[:]); err != nil {
			return err
		}
		length := int64(binary.BigEndian.Uint32(head[:4]) >> 8)
		if _, err := io.CopyN(io.Discard, c, length); err != nil || head[3] == frameHeaders {
			return err
		}
	}
}

// Checks that calls between processes of the mesh take no invalid response for an answer.
func TestInvalidResponseIsAnError(t *testing.T) {
	contentType := []string{"content-type", "application/proto"}
	for name, c := range map[string]struct {
		answer []byte
		valid  bool
	}{
		"valid":                    {frame(frameHeaders, endHeaders|endStream, 1, fields(append([]string{":status", "200"}, contentType...)...)), true},
		"status 000":               {frame(frameHeaders, endHeaders|endStream, 1, fields(append([]string{":status", "000"}, contentType...)...)), false},
		"status 600":               {frame(frameHeaders, endHeaders|endStream, 1, fields(append([]string{":status", "600"}, contentType...)...)), false},
		"status +20":               {frame(frameHeaders, endHeaders|endStream, 1, fields(append([]string{":status", "+20"}, contentType...)...)), false},
		"no status":                {frame(frameHeaders, endHeaders|endStream, 1, fields(contentType...)), false},
		"blank in a name":          {frame(frameHeaders, endHeaders|endStream, 1, fields(append([]string{":status", "200", "x other", "1"}, contentType...)...)), false},
		"blank behind a name":      {frame(frameHeaders, endHeaders|endStream, 1, fields(append([]string{":status", "200", "x-other ", "1"}, contentType...)...)), false},
		"control byte in a name":   {frame(frameHeaders, endHeaders|endStream, 1, fields(append([]string{":status", "200", "x\x01other", "1"}, contentType...)...)), false},
		"end behind a part":        {frame(frameHeaders, endHeaders, 1, fields(append([]string{":status", "200"}, contentType...)...)), false},
		"HTTP/1.1 instead":         {[]byte("HTTP/1.1 000 Unknown\r\nContent-Length: 0\r\n\r\n"), false},
		"length that is not right": {frame(frameHeaders, endHeaders|endStream, 1, fields(append([]string{":status", "200", "content-length", "9"}, contentType...)...)), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					if bytes.HasPrefix(c.answer, []byte("HTTP/1.1")) {
						_, _ = conn.Write(c.answer)
					} else {
						_, _ = conn.Write(frame(frameSettings, 0, 0, nil))
						if awaitHeaders(conn) == nil {
							_, _ = conn.Write(c.answer)
						}
					}
					_ = conn.(*net.TCPConn).CloseWrite()
					_, _ = io.Copy(io.Discard, conn)
					_ = conn.Close()
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			client := NewClient(Options{})
			defer client.Close()
			caller := connect.NewClient[emptypb.Empty, emptypb.Empty](client.HTTP(), URL(l.Addr().String())+"/a.B/C")
			_, err = caller.CallUnary(ctx, connect.NewRequest(&emptypb.Empty{}))
			is.Equal(err == nil, c.valid)
			is.True(!errors.Is(err, context.DeadlineExceeded))
			is.True(err == nil || !strings.Contains(err.Error(), "deadline"))
		})
	}
}
