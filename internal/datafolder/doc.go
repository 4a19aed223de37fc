// Package datafolder manages the one folder in which a voter stores its durable
// data: the lock, the identity, the log and the snapshot.
//
// It provides the other storage packages with a small file system interface of the
// few operations whose order decides what is on disk after a crash, an atomic
// replacement of a file, and errors that name the file and what to do.
package datafolder
