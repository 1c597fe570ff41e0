// Package move decides the moves of traffic to new upstream versions, which last
// minutes and have a deadline (message Move). The rollouts that change a version within
// seconds (message Rollout) are decided by package rollout.
//
// A Merger turns numbered cumulative reports of nodes into cumulative counts
// per failure domain without counting a call twice; MoveCounts does the same at
// the leader for the merged reports of the relays. A Judge compares the new
// version with the old one by a sequential test and schedules the shares
// backwards from the deadline. Pick applies the shares to calls.
//
// The package does no I/O: time and random numbers are passed in.
package move
