// Package ports holds the interfaces between decision logic (core), the
// responsibilities of a process (app) and the code that does I/O (adapters).
// An interface stands here when two of these sides share it.
package ports
