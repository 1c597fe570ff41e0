// Package condition sums up how the upstream of a node does, so that other
// nodes can avoid one that has become slow or fails without finding out each for
// itself. An upstream that does as usual is not worth a message. The package does
// no I/O and reads no clock.
package condition
