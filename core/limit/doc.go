// Package limit is the concurrency limiter of one upstream. It combines a
// number of slots that adapts when the upstream sheds load, a bounded queue that
// immediately rejects requests that cannot finish before their deadline, and
// weighted max-min fair shares of the slots among tenants. The shares are
// work-conserving: no slot is kept free for a tenant that has no request.
//
// The package does no I/O: time is passed in and nothing blocks.
package limit
