package meshhttp

import (
	"context"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/response/responsetest"
)

// Guards against a response that is reported as Answered although it is no valid HTTP, which would be
// passed on with another status or body than the destination sent.
func TestInvalidResponseIsNeverAnswered(t *testing.T) {
	for _, form := range responsetest.Invalid() {
		t.Run(form.Name, func(t *testing.T) {
			raw := form.With("X-Id: 1")
			for _, split := range []int{0, len(raw) / 2, len(raw) - 1} {
				if f, resp := receiveScripted([]byte(raw), split); f != InvalidResponse {
					t.Fatalf("%v, status %d, body %q", f, resp.StatusCode(), resp.Body())
				}
			}
		})
	}
}

// Guards against the rejection of unusual responses that are valid.
func TestUnusualResponseIsAnswered(t *testing.T) {
	for _, form := range append(responsetest.Valid(), responsetest.Unframed()...) {
		t.Run(form.Name, func(t *testing.T) {
			raw := form.With("X-Id: 1")
			for split := range len(raw) {
				f, resp := receiveScripted([]byte(raw), split)
				if f != Answered || resp.StatusCode() != form.Status || string(resp.Body()) != form.Body {
					t.Fatalf("split at %d: %v, status %d, body %q", split, f, resp.StatusCode(), resp.Body())
				}
			}
		})
	}
}

// Guards against an invalid response to an earlier request that is skipped, and whose rest is then
// taken for the response to the next one.
func TestInvalidLateResponseIsNotSkipped(t *testing.T) {
	for _, form := range responsetest.Invalid() {
		t.Run(form.Name, func(t *testing.T) {
			raw := form.With("X-Id: 0") + rawResponse("1", "own")
			if f, resp := receiveScripted([]byte(raw), 0); f != InvalidResponse {
				t.Fatalf("%v, status %d, body %q", f, resp.StatusCode(), resp.Body())
			}
		})
	}
}

// Guards against an invalid header of a response without a body.
func TestInvalidHeaderWithoutBodyIsNeverAnswered(t *testing.T) {
	for _, method := range []string{fasthttp.MethodHead, fasthttp.MethodGet} {
		for raw, want := range map[string]Failure{
			"HTTP/1.1 000 Unknown\r\nX-Id: 1\r\n\r\n":                           InvalidResponse,
			"HTTP/1.1 204 No Content\r\nX-Id: 1\r\nX Other: 1\r\n\r\n":          InvalidResponse,
			"HTTP/1.1 304 Not Modified\r\nX-Id: 1\r\nX-Other : 1\r\n\r\n":       InvalidResponse,
			"HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n":                        Answered,
			"HTTP/1.1 304 Not Modified\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\n": Answered,
		} {
			c := newCall("1", true)
			c.Request.Header.SetMethod(method)
			if o := newTestPool().Do(context.Background(), backend(t, raw), c); o.Failure != want {
				t.Errorf("%s, %q: %v, status %d", method, raw, o.Failure, c.Response.StatusCode())
			}
		}
	}
}
