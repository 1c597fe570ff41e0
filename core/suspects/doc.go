// Package suspects identifies requests that crash upstreams. The requests in progress when an upstream ends become
// suspects; a request that completes anywhere without a failure is cleared, because one that crashes upstreams never does. A
// suspect runs on one upstream at a time, beside no other suspect. Requests that were in progress at two crashes are rejected,
// except for rare trials.
//
// Nodes and control hosts each have a Registry and send each other its records. Merging them is idempotent and does not
// depend on their order. Records carry ages and no times of day, so that differing clocks have no effect.
//
// The package does no I/O: time is passed in.
package suspects
