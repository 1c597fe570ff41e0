// Package follower keeps the configuration of a node current: it long-polls a
// relay, validates what it receives as a whole, records the revision with
// recorders and swaps one pointer. It also serves the configuration and the
// floors to the peers of the failure domain.
package follower
