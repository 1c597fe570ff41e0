// Package ledger runs the claims of idempotency keys on a node: the service of
// a member of a ledger group with its recovery after a restart, and the keeper
// through which the gate of a node claims keys.
package ledger
