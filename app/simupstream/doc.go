// Package simupstream is a simulated upstream for demos and tests. It answers
// over HTTP with a settable latency, limited slots and settable faults, announces
// itself to the node on its host, and drains when it is told to stop. Its
// responses depend on a token of the request, so that a caller can verify that a
// response is its own and complete, and it counts executions per idempotency key.
package simupstream
