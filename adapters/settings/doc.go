// Package settings reads the settings of a process: JSON with comments, checked
// as a whole. Every problem of a file is collected into one report that names
// file, line and the expected value, so that a host without on-site staff is
// repaired in one attempt. A program exits with ExitStatus before it opens a port
// when its settings are not valid.
package settings
