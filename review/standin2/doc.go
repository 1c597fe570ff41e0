// Command review-standin-2 plays the cases of the second review that are scripts: it starts the programs of the project as
// separate processes on loopback addresses, stands in for the platform, operators, clients and upstreams, and records what was seen.
package main
