// Package members keeps the endpoint table of a process up to date. It exchanges
// records with relays and peers, detects failures inside the failure domain and
// distributes suspect requests. Nodes and relays use the same package; a relay has no
// record of its own and exchanges with the other relays, so that each change
// crosses the link between two regions only once.
package members
