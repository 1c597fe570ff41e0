// Package ledger ensures that at most one gate runs a request with a given
// idempotency key. A gate may run the request when a majority of the ledger
// group has granted its claim. A Member stores the claims that one member of the
// group knows; an Attempt collects the votes on one claim of a gate.
//
// Members keep their grants in memory, so a restarted member has lost them. Two
// rules prevent a lost grant from giving two gates a majority. An Attempt counts
// only grants that arrive within ClaimWindow of its start. A restarted member
// waits RecoveryDelay before it pulls the claims of other members; by then every
// claim that could have counted a lost grant is known to the other members of
// its majority. The restarted member merges the claims of enough members to
// intersect every majority. A group of 4 or 5 therefore stays available when 2
// members restart at once.
//
// The package is pure: callers pass the time in.
package ledger
