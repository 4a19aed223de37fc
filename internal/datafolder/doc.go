// Package datafolder is the one folder in which a voter keeps what must
// survive: its lock, its identity, the log and the snapshot.
//
// It gives the other storage packages a small file system interface with the
// few operations whose order decides what a crash leaves behind, an atomic
// replace of a file, and errors that name the file and what to do.
package datafolder
