// Package settings reads and validates the settings of a process, which are JSON
// with comments. One Report lists every problem with file, line and expected value,
// so that a host without on-site staff can be repaired in one attempt. When its
// settings are not valid, a program exits with ExitStatus before it opens a port.
package settings
