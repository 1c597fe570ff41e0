package loadgen

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/response"
	"github.com/rattanfield/rattanfield/app/simupstream"
)

const (
	dialTimeout     = time.Second
	maxConnsPerHost = 4096
	idleConnTimeout = 30 * time.Second
)

// dialError is the error of an attempt that reached no listener.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

func newClient() *fasthttp.Client {
	return &fasthttp.Client{
		MaxConnsPerHost: maxConnsPerHost, MaxIdleConnDuration: idleConnTimeout, NoDefaultUserAgentHeader: true,
		// The client must not retry: send decides whether a repetition is safe.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			c, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				return nil, dialError{err}
			}
			return response.Check(c), nil
		},
	}
}

// call describes one request.
type call struct {
	token  string // identifies the call; also its idempotency key if it is keyed
	tenant string
	route  Route
	keyed  bool // sent with an Idempotency-Key
}

// closingCallID marks the response that a stopping entry writes to an idle connection. The
// entry has read no request, so a request that was sent at the same time was not run.
const closingCallID = "-"

// reply holds the values of an HTTP response that the caller evaluates.
type reply struct {
	status               int
	ran, reason, version string
	closing              bool  // see closingCallID
	verifyErr            error // nil if the body belongs to the call, or was not verified
}

// attempt sends a call to an address once. The body of a response with a status below 400
// is verified.
func (g *generator) attempt(address string, c call) (reply, error) {
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
		return reply{}, err
	}
	r := reply{
		status: answer.StatusCode(),
		ran:    string(answer.Header.Peek(HeaderRan)), reason: string(answer.Header.Peek(HeaderReason)),
		version: string(answer.Header.Peek(simupstream.HeaderVersion)),
		closing: string(answer.Header.Peek(headerCallID)) == closingCallID,
	}
	if r.status < http.StatusBadRequest {
		r.verifyErr = verify(c.token, g.options.ResponseBytes, answer)
	}
	return r, nil
}

func verify(token string, length int, answer *fasthttp.Response) error {
	if echoed := string(answer.Header.Peek(simupstream.HeaderToken)); echoed != token {
		return fmt.Errorf("response carries token %q instead of %q", echoed, token)
	}
	return simupstream.VerifyBody(token, length, answer.Body())
}

// send sends a call and repeats it through the other entries where that is safe: always
// after an attempt that reached no listener or a stopping entry, otherwise if the call is
// idempotent or has a key.
func (g *generator) send(c call, firstEntry int) Result {
	r := Result{Token: c.token, Tenant: c.tenant, Route: c.route.Method + " " + c.route.Path, Sent: time.Now()}
	// Each entry is tried twice, because an entry that has just stopped may be running again.
	maxFailovers := 2 * len(g.options.Entries)
	repeatable := c.keyed || c.route.Method == http.MethodGet
	for try := 0; ; try++ {
		r.Entry = g.options.Entries[(firstEntry+try)%len(g.options.Entries)]
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
			r.Err, r.Outcome = answer.verifyErr, classify(answer.status, answer.ran, answer.verifyErr)
		}
		inconclusive := r.Outcome == Lost || r.Outcome == Unknown
		if inconclusive && r.FirstLoss == nil {
			r.FirstLoss = fmt.Errorf("entry %s after %s: %s %s: %w", r.Entry, r.Finished.Sub(r.Sent).Round(time.Millisecond), r.Outcome, r.Reason, err)
		}
		if !inconclusive || !repeatable || r.Attempts-r.Failovers > g.options.MaxResends {
			return r
		}
	}
}
