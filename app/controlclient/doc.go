// Package controlclient connects a node to the control hosts. It reports the node's own
// record and receives the accepted plan, the rollouts and the table of nodes.
// While no control host answers, the node continues with the last received data.
package controlclient
