// Package control wires a control host: the replicated log, the relay of its
// failure domain, the decisions about moves and the admin listener.
package control
