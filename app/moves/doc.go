// Package moves runs the moves of core/move in nodes and control hosts: the
// Recorder of a node counts outcomes and picks versions, the Collector of a
// control host merges the reports that nodes send to the relay there and forwards
// them to the leader, and the Decider of the leader proposes the steps of each move.
package moves
