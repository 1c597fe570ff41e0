// Package loadgen is an open-loop load generator: it sends calls through the entries of
// nodes at a fixed rate, whether earlier calls are answered or not, and records outcomes
// and latencies. It verifies that each response is complete and belongs to its call. It
// can resend calls that have an idempotency key through another entry, and pair calls with
// direct calls to an upstream to measure the latency that the system adds.
package loadgen
