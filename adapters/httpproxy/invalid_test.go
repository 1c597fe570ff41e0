package httpproxy

import (
	"testing"

	"github.com/rattanfield/rattanfield/adapters/response/responsetest"
)

// Guards against a response that is passed on although it is no valid HTTP, with another status or
// body than the destination sent.
func TestInvalidResponseIsAnError(t *testing.T) {
	for _, form := range responsetest.Invalid() {
		t.Run(form.Name, func(t *testing.T) {
			raw := form.With(HeaderCallID + ": 1")
			for _, split := range []int{0, len(raw) / 2, len(raw) - 1} {
				for _, idOptional := range []bool{true, false} {
					resp, failure := receiveScripted(idOptional, raw[:split], raw[split:])
					if failure == nil || !failure.sent {
						t.Fatalf("%v, status %d, body %q", failure, resp.StatusCode(), resp.Body())
					}
				}
			}
		})
	}
}

// Guards against the rejection of unusual responses that are valid.
func TestUnusualResponseIsPassedOn(t *testing.T) {
	for _, form := range responsetest.Valid() {
		t.Run(form.Name, func(t *testing.T) {
			raw := form.With(HeaderCallID + ": 1")
			for split := range len(raw) {
				resp, failure := receiveScripted(false, raw[:split], raw[split:])
				if failure != nil || resp.StatusCode() != form.Status || string(resp.Body()) != form.Body {
					t.Fatalf("split at %d: %v, status %d, body %q", split, failure, resp.StatusCode(), resp.Body())
				}
			}
		})
	}
}
