// Package config is the model of accepted configuration: validation of a whole
// configuration, the projection that a node needs, deltas between projections
// and the hash that confirms the result of a delta.
//
// Every function is pure. Messages that are passed in are never modified;
// callers must not modify messages that a Projection holds.
package config
