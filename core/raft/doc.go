// Package raft is the replicated log of the control hosts as a pure step core:
// messages, ticks and the current monotonic time go in, a Ready with work comes
// out. It does no I/O, starts no goroutine and reads no clock.
//
// Elections use a pre-vote and the check-quorum rule; a leader serves reads
// under a lease or after a heartbeat round (read index). Members change one at
// a time. Each disk has an incarnation that is committed with its member: a
// host whose disk is new or older gives provisional votes only, which count
// nowhere but in an election that every voter agrees to.
package raft
