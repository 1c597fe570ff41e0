// Package calls joins what carries the calls of one node: entry, gate, their
// servers, the claims of idempotency keys and the spreading of suspects.
package calls
