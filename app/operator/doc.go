// Package operator implements the command line of operators. It parses a
// statement, sends it to the control hosts with failover, resends a command with
// the same id when the response is lost, and prints tables or JSON.
package operator
