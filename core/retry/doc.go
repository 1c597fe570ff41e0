// Package retry decides whether the layer that saw an attempt of a call fail may
// retry it. A retry budget per service bounds retries to a share of the calls, and
// a failure on which a deeper layer has already decided is not retried, so that
// retries do not multiply over the layers of nested calls.
//
// The package does no I/O: time is passed in.
package retry
