// Package callbench measures calls through entry and gate against a baseline
// (round robin, no limits, retries without budget) in one process with real
// listeners on loopback. Every scenario has a seed.
package callbench
