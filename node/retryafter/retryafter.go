// Package retryafter sets the Retry-After header, which tells HTTP callers when
// to retry.
//
//	retryafter.Set(w.Header(), 1200*time.Millisecond) // Retry-After: 2
package retryafter

import (
	"net/http"
	"strconv"
	"time"
)

// Set sets the header to d, rounded up to whole seconds.
func Set(h http.Header, d time.Duration) {
	h.Set("Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
}

// SetMS is like Set, with the duration in milliseconds.
func SetMS(h http.Header, ms int64) { Set(h, time.Duration(ms)*time.Millisecond) }
