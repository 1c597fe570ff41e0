// Package attach keeps a node attached to the control hosts: it reports the
// node's own record and brings the accepted plan, the rollouts and the table of
// nodes. While no control host answers, the node goes on with what it has.
package attach
