// Package manifest reads the one file by which operators drive a site, and
// refuses it with every problem in one answer: file, section, key and what is
// allowed there. A manifest is accepted whole or not at all.
//
// Keys is the table of all keys with units, defaults and bounds; the reader
// and the operators' documentation both follow it.
package manifest
