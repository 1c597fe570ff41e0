package simupstream

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Headers of simulated requests and responses.
const (
	HeaderToken    = "X-Sim-Token"    // request and response: identifies the call
	HeaderLength   = "X-Sim-Length"   // request: bytes of the response body
	HeaderCrash    = "X-Sim-Crash"    // request: crashes the upstream that runs it
	HeaderService  = "X-Sim-Service"  // response
	HeaderVersion  = "X-Sim-Version"  // response
	HeaderInstance = "X-Sim-Instance" // response
	HeaderShed     = "X-Sim-Shed"     // response: rejected by the upstream itself
)

// HeaderKey carries the idempotency key of a request.
const HeaderKey = "Idempotency-Key"

// MaxBodyBytes bounds the length of the response body that a request can ask for.
const MaxBodyBytes = 1 << 20

// Body returns the response body for a token; length is limited to MaxBodyBytes. Each
// block depends on the token and on its position, so that VerifyBody detects a body that
// is truncated, mixed from two responses or meant for another call.
func Body(token string, length int) []byte {
	length = min(max(length, 0), MaxBodyBytes)
	body := make([]byte, 0, length+8)
	seed := xxhash.Sum64String(token)
	var block [16]byte
	for i := uint64(0); len(body) < length; i++ {
		binary.BigEndian.PutUint64(block[:8], seed)
		binary.BigEndian.PutUint64(block[8:], i)
		body = binary.BigEndian.AppendUint64(body, xxhash.Sum64(block[:]))
	}
	return body[:length]
}

// VerifyBody returns an error if the body is not the complete response for the token.
func VerifyBody(token string, length int, body []byte) error {
	if len(body) != length {
		return fmt.Errorf("body has %d bytes instead of %d", len(body), length)
	}
	if !bytes.Equal(body, Body(token, length)) {
		return fmt.Errorf("body does not belong to token %q", token)
	}
	return nil
}
