// Package consensus runs the replicated log and the state machine of a control
// host. Each responsibility has one goroutine: the step loop owns the raft
// core, the disk writer syncs, one sender per peer sends, the applier runs the
// state machine. Bounded rings join them; an overflow of a sender's ring loses
// messages, which the log replication repairs.
package consensus
