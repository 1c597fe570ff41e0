// Package soak runs the real processes on loopback addresses under a seeded
// schedule of signals, restarts and disturbed connections (of callers to nodes,
// and of nodes to their upstreams), and checks from what clients and upstreams
// see that no request that cannot be repeated runs twice, no answer is another
// request's, a refusal that says "not run" is true, an acknowledged plan is never
// lost or read back older, and that everything is served again in the end.
package soak
