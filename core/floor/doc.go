// Package floor holds the rule of the revision floor: the lowest revision that
// a node without a disk may apply after a restart. Recorders remember it in
// memory; the package is pure and not safe for concurrent use.
package floor
