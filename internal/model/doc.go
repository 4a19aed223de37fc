// Package model defines the types that the other packages share: typed
// identifiers, resources, request verdicts, the site's desired state (the
// parsed manifest) and the records of the replicated state.
//
// Records are immutable once published: a change replaces the record with a
// modified copy. Readers may therefore hold a pointer without a lock.
//
// The package imports nothing else of this module.
package model
