// Package defaults fills in settings that were left out.
package defaults

// Set replaces a value that is not positive.
func Set[T ~int | ~int64](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
