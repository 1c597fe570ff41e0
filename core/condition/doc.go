// Package condition summarizes the health of a node's upstream, so that other nodes
// can avoid one that has become slow or fails without each finding out for itself.
// A healthy upstream causes no messages. The package does no I/O and reads no clock.
package condition
