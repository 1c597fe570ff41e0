// Package roster is the table of nodes and their upstreams that control hosts
// keep together and nodes copy. A record is made by its node only; the newer
// one by epoch and sequence number wins, in whatever order records arrive. A
// control host may mark a record that it has from the node itself as silent.
//
// The package does no I/O, starts no goroutine and reads no clock.
package roster
