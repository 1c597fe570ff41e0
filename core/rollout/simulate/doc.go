// Package simulate produces seeded streams of calls of a service during a move,
// with faults of the new version and of processes, and drives a controller with
// them. Time advances in steps of one second; nothing depends on the clock.
//
// Capacity is modelled per version: an upstream has a number of slots, and a
// version whose upstreams are nearly all busy gets slower and rejects calls.
package simulate
