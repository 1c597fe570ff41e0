// Package config is the model of the accepted configuration: its validation, the
// projection that a node needs, deltas between projections and the hash that
// verifies the result of a delta.
//
// Every function is pure and does not modify the messages that are passed in.
// Callers must not modify messages that a Projection holds.
package config
