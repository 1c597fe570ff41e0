// Package httpproxy carries calls: the entry, which picks route, version and
// upstream for a caller's request, the gate, which alone decides whether a
// request runs on the upstream of its host, and the connections between them.
//
// A response states in X-Rattanfield-Ran whether the request was run. It is
// "not-run" only when no byte of the request was written to an upstream.
package httpproxy
