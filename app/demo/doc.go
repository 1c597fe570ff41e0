// Package demo runs end-to-end scenarios with real processes on loopback
// addresses. Run starts control hosts, nodes and upstreams from generated
// settings, applies a configuration, sends calls, moves one service to a good
// and another to a bad version while a control host is killed and a node is
// stopped, and checks the result. RunFaults kills, freezes and isolates
// processes under load.
package demo
