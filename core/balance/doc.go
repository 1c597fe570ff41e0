// Package balance picks the endpoint of a call: two random candidates of the
// nearest locality with capacity, of which the one with less expected work is
// taken. It knows slow start of cold upstreams, ejects endpoints by observed
// outcomes and keeps traffic to the remote region within a byte budget.
//
// The package is pure: time and random numbers are passed in.
package balance
