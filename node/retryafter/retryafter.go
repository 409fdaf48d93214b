// Package retryafter writes the header that tells HTTP callers when to come
// back.
//
//	retryafter.Set(w.Header(), 1200*time.Millisecond) // Retry-After: 2
package retryafter

import (
	"net/http"
	"strconv"
	"time"
)

// Set writes the header, rounded up to its whole seconds.
func Set(h http.Header, d time.Duration) {
	h.Set("Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
}

// SetMS is Set for milliseconds.
func SetMS(h http.Header, ms int64) { Set(h, time.Duration(ms)*time.Millisecond) }
