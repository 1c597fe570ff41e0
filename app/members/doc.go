// Package members keeps the endpoint table of a process up to date: exchange
// with relays and peers, failure detection inside the failure domain, and the
// spreading of suspects. Nodes and relays use the same package; a relay has no
// record of its own and exchanges with the other relays, so that changes cross
// the link between two regions once.
package members
