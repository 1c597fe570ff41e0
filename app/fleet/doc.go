// Package fleet runs relays and nodes of several failure domains in one process,
// with real connections on loopback, an added delay for the region link and
// links that can be blocked in one direction. Tests and capacity measurements
// use it; accepted configuration comes from a stand-in for the replicated log.
package fleet
