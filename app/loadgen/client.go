package loadgen

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/app/simupstream"
)

const (
	dialTimeout    = time.Second
	maxConnsPerHop = 4096
	idleConnection = 30 * time.Second
)

// dialError marks an attempt that reached no listener.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

func newClient() *fasthttp.Client {
	return &fasthttp.Client{
		MaxConnsPerHost: maxConnsPerHop, MaxIdleConnDuration: idleConnection, NoDefaultUserAgentHeader: true,
		// Repetitions are decided here, where it is known whether they are safe.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			c, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				return nil, dialError{err}
			}
			return c, nil
		},
	}
}

// call is what one request consists of.
type call struct {
	token  string
	tenant string
	route  Route
	keyed  bool
}

// closingCallID marks the response that an entry which stops sends on an idle
// connection: it read no request, so a request that crossed it was not run.
const closingCallID = "-"

// response is what the caller keeps of an answer.
type response struct {
	status               int
	ran, reason, version string
	closing              bool
	verified             error
}

// attempt sends a call once to an address.
func (g *generator) attempt(address string, c call) (response, error) {
	request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
	request.SetRequestURI("http://" + address + c.route.Path)
	if g.options.Host != "" {
		request.UseHostHeader = true
		request.Header.SetHost(g.options.Host)
	}
	request.Header.SetMethod(c.route.Method)
	request.Header.Set(simupstream.HeaderToken, c.token)
	request.Header.Set(simupstream.HeaderLength, strconv.Itoa(g.options.ResponseBytes))
	request.Header.Set(HeaderTenant, c.tenant)
	request.Header.Set(HeaderDeadline, strconv.FormatInt(g.options.Timeout.Milliseconds(), 10))
	if c.keyed {
		request.Header.Set(simupstream.HeaderKey, c.token)
	}
	if c.route.BodyBytes > 0 {
		request.SetBody(simupstream.Body(c.token, c.route.BodyBytes))
	}
	if err := g.client.DoTimeout(request, answer, g.options.Timeout); err != nil {
		return response{}, err
	}
	r := response{
		status: answer.StatusCode(),
		ran:    string(answer.Header.Peek(HeaderRan)), reason: string(answer.Header.Peek(HeaderReason)),
		version: string(answer.Header.Peek(simupstream.HeaderVersion)),
		closing: string(answer.Header.Peek(headerCallID)) == closingCallID,
	}
	if r.status < http.StatusBadRequest {
		r.verified = verify(c.token, g.options.ResponseBytes, answer)
	}
	return r, nil
}

func verify(token string, length int, answer *fasthttp.Response) error {
	if echoed := string(answer.Header.Peek(simupstream.HeaderToken)); echoed != token {
		return fmt.Errorf("response carries token %q instead of %q", echoed, token)
	}
	return simupstream.VerifyBody(token, length, answer.Body())
}

// send a call, and again through other entries where a repetition is safe: after
// an attempt that reached no listener or a stopping entry always, otherwise when the call is
// idempotent or has a key.
func (g *generator) send(c call, first int) Result {
	r := Result{Token: c.token, Tenant: c.tenant, Route: c.route.Method + " " + c.route.Path, Sent: time.Now()}
	// Twice around: an entry that stopped a moment ago may be back.
	maxFailovers := 2 * len(g.options.Entries)
	repeatable := c.keyed || c.route.Method == http.MethodGet
	for try := 0; ; try++ {
		r.Entry = g.options.Entries[(first+try)%len(g.options.Entries)]
		r.Attempts++
		answer, err := g.attempt(r.Entry, c)
		r.Finished, r.Err = time.Now(), err
		var dial dialError
		switch {
		case errors.As(err, &dial):
			r.Failovers++
			r.Outcome = Lost
			if r.Failovers < maxFailovers {
				continue
			}
		case err == nil && answer.closing && r.Failovers < maxFailovers:
			r.Failovers++
			continue
		case err != nil:
			r.Outcome = Lost
		default:
			r.Status, r.Ran, r.Reason, r.Version = answer.status, answer.ran, answer.reason, answer.version
			r.Err, r.Outcome = answer.verified, classify(answer.status, answer.ran, answer.verified)
		}
		again := r.Outcome == Lost || r.Outcome == Unknown
		if again && r.FirstLoss == nil {
			r.FirstLoss = fmt.Errorf("entry %s after %s: %s %s: %w", r.Entry, r.Finished.Sub(r.Sent).Round(time.Millisecond), r.Outcome, r.Reason, err)
		}
		if !again || !repeatable || r.Attempts-r.Failovers > g.options.MaxResends {
			return r
		}
	}
}
