// Package loadgen sends calls at a rate through the entries of nodes, whether
// earlier calls are answered or not, and records outcome and latency. It
// verifies that each response is whole and belongs to its call, can resend keyed
// calls through another entry, and can pair calls with direct ones to an upstream
// to measure the latency that the system adds.
package loadgen
