// Package ports defines the interfaces and types that are shared between the
// decision logic (core), the application services of a process (app) and the
// code that does I/O (adapters).
package ports
