// Package defaults replaces unset settings by their defaults.
package defaults

// Set replaces a value that is not positive by the fallback.
func Set[T ~int | ~int64](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
