// Package raft implements the replicated log of the control hosts as a
// deterministic state machine. Its inputs are messages, ticks and the current
// monotonic time; its output is a Ready with work for the caller. It does no
// I/O, starts no goroutine and reads no clock.
//
// Elections use pre-votes and the check-quorum rule. A leader serves reads
// under a lease or after a heartbeat round (read index). Membership changes one
// voter at a time. Each disk has an incarnation, a random id that is committed in
// the record of its member; in this package the word means the id of a disk, not
// the start of a process. A host whose disk is new, or was restored from an older
// copy, casts only provisional votes; they count only in an election in which
// every known member, voter or not, grants its vote.
package raft
