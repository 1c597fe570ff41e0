// Package quarantine identifies requests that crash upstreams. All requests in
// flight at a crash become suspects. A suspect only runs alone, so that another
// crash identifies its cause: that request is rejected from then on. A suspect that
// completes alone is cleared.
//
// The package does no I/O: time is passed in.
package quarantine
