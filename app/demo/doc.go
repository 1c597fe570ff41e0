// Package demo runs the main job with real processes on loopback: it starts
// control hosts, nodes and upstreams from generated settings, applies a
// configuration, sends calls, moves a service to a good and to a bad version
// while a control host is killed and a node is stopped, and checks the result.
// It is the only part of the system that starts processes.
package demo
