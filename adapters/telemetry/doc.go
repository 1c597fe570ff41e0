// Package telemetry provides the loggers, the metrics and the admin listener of a
// process; the admin listener serves health, readiness, metrics and status.
package telemetry
