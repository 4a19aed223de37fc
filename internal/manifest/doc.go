// Package manifest parses and validates the one file with which operators
// configure a site. An invalid manifest is refused with all of its problems at
// once, each with file, section, key and the allowed values. A manifest is
// accepted as a whole or not at all.
//
// Keys returns the table of all keys with units, defaults and bounds; the parser
// and the operators' documentation both follow it.
package manifest
