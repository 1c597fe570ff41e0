// Package retry decides whether a failed attempt of a call may be repeated by
// the layer that saw it fail. A budget per service bounds repeated attempts to
// a share of the calls, and failures that a lower layer has already judged are
// not repeated, so that retries do not multiply over the layers of a call.
//
// The package is pure: time is passed in.
package retry
