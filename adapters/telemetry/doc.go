// Package telemetry gives a process its logger, its metrics and its admin
// listener with health, readiness, metrics and status.
package telemetry
