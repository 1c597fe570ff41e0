// Package control builds a control host: the replicated log, the relay of its failure
// domain, the collector and the decider of moves, and the admin listener.
package control
