// Package operator is the operator's command line: it parses a statement, asks
// the control hosts one after the other, resends a command with the same id when
// its answer is lost, and prints tables or JSON.
package operator
