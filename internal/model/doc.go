// Package model holds the types that every other package agrees on: typed
// identifiers, resources, request verdicts, the site's desired state (the
// manifest in parsed form) and the records of the replicated state.
//
// Records are immutable once published: a change replaces the record by a
// modified copy. Readers may therefore keep a pointer without a lock.
//
// The package imports nothing else of this module.
package model
