// Package limit decides which requests run on one upstream and when: a number
// of slots that adapts when the upstream sheds load, a bounded queue that
// rejects at once what cannot finish in time, and weighted max-min fair shares
// of the slots among tenants. Shares are work-conserving: a slot is never kept
// free for a tenant that has no request.
//
// The package is pure: time is passed in and nothing blocks.
package limit
