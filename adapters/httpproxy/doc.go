// Package httpproxy implements the HTTP data path of a node. The entry selects route,
// version and upstream for a caller's request. The gate alone decides whether a request
// runs on the upstream of its host. The package also contains their connection handling.
//
// A response states in X-Rattanfield-Ran whether the request was run. The value is
// "not-run" only if no byte of the request was written to an upstream.
package httpproxy
