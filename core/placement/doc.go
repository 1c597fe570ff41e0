// Package placement picks the node that runs a request: the one where the least
// of the request's worth is at stake, by expected lateness, failures, refusals and
// the price of the bytes on the way, as far as the node that asks can know. It
// does no I/O and reads no clock.
package placement
