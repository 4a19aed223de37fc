// Package order provides comparison functions that the standard library lacks.
package order

// Bools compares booleans in the manner of cmp.Compare; false comes before true.
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
