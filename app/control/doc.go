// Package control builds a control host: the replicated log, the relay of its failure
// domain, the collector and the decider of moves, and the admin listener. The program
// rattanfield-control runs it with settings in JSON; the control hosts of the program
// rattanfield-platform are built by package meshcontrol.
package control
