// Package capacity learns how many concurrent requests an upstream takes well. An upstream whose service time grows with
// its concurrency so much that it completes no more requests per second gets a limit below the slots that it announces.
//
// The evidence is the slope of the log service time over the log concurrency, each relative to its average over a few
// service times, so that a change of the speed over time does not look like an effect of the concurrency. Where the
// concurrency does not vary by itself, because all slots are taken, a trial alternates two limits; it starts only if
// requests took less time when few slots were taken. An upstream without such a suspicion is never limited.
//
// The package does no I/O and reads no clock.
package capacity
