// Package state is the deterministic state machine of the control hosts. It
// applies committed entries one by one over core/config: configuration changes
// with an expected revision, moves and their steps, members, the results of
// commands by command id and the history of decisions.
//
// Time comes from the commands only, so every host computes the same state.
package state
