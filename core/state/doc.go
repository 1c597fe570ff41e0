// Package state is the deterministic state machine of the control hosts. It
// applies committed log entries in order and holds the configuration, moves and
// their steps, the routing plan, rollouts, the members of the control group,
// the results of commands by command id and the history of decisions. A
// configuration change carries the revision that it expects; package config
// applies and validates it.
//
// The only clock is the submission time in the commands, so every host computes
// the same state.
package state
