// Package soak runs the real processes on loopback addresses under a seeded
// schedule of signals, restarts and disturbed connections (from callers to nodes,
// and from nodes to their upstreams). From the observations of clients and
// upstreams it checks these guarantees:
//
//   - A write, a request that must not be repeated, runs at most once.
//   - No client receives the answer to another request.
//   - A write that was rejected as not run has not run and does not run later.
//   - An acknowledged plan is neither lost nor followed by a read of an older one.
//   - Every node serves again after the last fault.
package soak
