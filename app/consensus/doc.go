// Package consensus runs the replicated log and the state machine of a control
// host. Each task has its own goroutine: the step loop owns the raft core, the
// disk loop writes and syncs, a sender per peer sends messages, and the apply
// loop runs the state machine. Bounded rings connect them. When the ring of a
// sender is full, messages are dropped; replication sends them again.
package consensus
