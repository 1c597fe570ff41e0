// Package disk keeps the replicated log of a control host in one data
// directory: a segmented write-ahead log, snapshot files and the file meta with
// term, vote and the incarnation of the disk.
//
// Every record has a length, a type and a checksum. Write returns only after
// fsync. At the start a torn tail is cut off; damage before the tail is an
// error that names file and offset. After any write or sync error the store
// fails for good: what the system holds of a failed write is unknown.
package disk
