// Package simupstream is a simulated upstream for demos and tests. It answers over HTTP
// with configurable latency, slots and faults, announces itself to the node on its host,
// and drains when it is told to stop. Response bodies depend on a token in the request,
// so that a caller can verify that a response is complete and its own. The upstream also
// counts executions per idempotency key.
package simupstream
