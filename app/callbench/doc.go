// Package callbench measures calls through entry and gate and compares them with a baseline
// (round robin, no limits, retries without budget). All nodes run in one process with real
// listeners on loopback. The random choices of every scenario come from a seed.
package callbench
