// Package fleet runs relays and nodes of several failure domains in one process for tests
// and capacity measurements. Connections are real ones on loopback or replaced in memory,
// requests between regions get an added delay, and links can be blocked in one direction.
// A Source takes the place of the replicated log.
package fleet
