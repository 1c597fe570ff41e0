// Package follower keeps the configuration of a node current. It long-polls a
// relay, validates each received configuration as a whole, has recorders store its
// revision as the floor of the node and then puts it in force by swapping a
// pointer. It also serves the configuration and the floors to the peers of the
// failure domain.
package follower
