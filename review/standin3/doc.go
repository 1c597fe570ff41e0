// Command standin3 runs the cases of the third review that are no days of the bench: it starts the project's own node and
// control host as processes on loopback addresses, together with stand-ins for upstreams, clients and the operator, and
// writes what they sent and saw.
package main
