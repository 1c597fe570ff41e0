// Package disk stores the replicated log of a control host in one data
// directory: a segmented write-ahead log, snapshot files and the file meta,
// which holds the term, the vote and the incarnation of the disk.
//
// Every record has a length, a type and a checksum. Write returns only after
// fsync. Open truncates a torn tail; damage before the tail is an error that
// names file and offset. After a write or sync error every further write fails,
// because it is unknown how much of the failed write the operating system has
// stored. A full disk can be retried, see Options.OnFull.
package disk
