// Package floor implements the revision floor: the lowest revision that a node
// without a disk may apply after a restart. Recorders keep the floors in memory.
// The package does no I/O and is not safe for concurrent use.
package floor
