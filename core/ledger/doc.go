// Package ledger lets at most one gate run a request with an idempotency key.
// A gate needs a grant of a majority of the ledger group; a Member remembers
// claims, an Attempt collects the grants of one gate.
//
// A member that restarts has forgotten its grants. Two rules keep a forgotten
// grant from being counted: an Attempt counts only grants that arrive within
// ClaimWindow of its start, and a restarted member waits RecoveryDelay before
// it merges the claims of other members, so that every claim that could still
// count a forgotten grant is known to a majority without it by then. It merges
// those of so many members that they intersect each majority; a group of 4 or 5
// therefore stays available when 2 members restart at once.
//
// The package is pure: time is passed in.
package ledger
