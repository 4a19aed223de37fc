// Package order compares what the standard library does not.
package order

// Bools puts false before true, in the manner of cmp.Compare.
func Bools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
