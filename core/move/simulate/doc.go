// Package simulate generates seeded streams of calls of a service during a move,
// with faults of the new version and of processes, and runs a controller on them.
// Time advances in steps of one second; nothing depends on the clock.
//
// Capacity is modelled per version: an upstream has a number of slots, and a
// version that has almost all its slots busy gets slower and rejects calls.
package simulate
