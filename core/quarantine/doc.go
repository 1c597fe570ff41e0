// Package quarantine finds the request that crashes upstreams. Requests in
// flight at a crash become suspects; a suspect runs only alone, so that the
// next crash tells who caused it. A suspect that completes is cleared.
//
// The package is pure: time is passed in.
package quarantine
