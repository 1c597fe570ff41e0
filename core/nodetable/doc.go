// Package nodetable implements the table of nodes and their upstreams that control
// hosts share and nodes replicate. Only the node itself writes its record. The
// record with the higher epoch and sequence number wins, in any order of arrival.
// A control host may mark a record that it received from the node itself as
// silent.
//
// The package does no I/O, starts no goroutine and reads no clock.
package nodetable
