package forward

import (
	"net/http"
	"strings"
)

// The headers exchanged with callers and backend servers.
const (
	HeaderRequestID  = "Wigeonwinch-Request-Id"
	HeaderTeam       = "Wigeonwinch-Team"
	HeaderClass      = "Wigeonwinch-Class"
	HeaderRepeatable = "Wigeonwinch-Repeatable"
	HeaderDeadlineMS = "Wigeonwinch-Deadline-Ms"
	HeaderRunMS      = "Wigeonwinch-Run-Ms"
	HeaderIssuedAt   = "Wigeonwinch-Issued-At"
	HeaderOutcome    = "Wigeonwinch-Outcome"
	HeaderReason     = "Wigeonwinch-Reason"
	// HeaderRetry is "same-id" when a retry with the same ID is safe.
	HeaderRetry = "Wigeonwinch-Retry"
	// HeaderDuplicate is "yes" on an answer that was produced by an earlier
	// copy.
	HeaderDuplicate = "Wigeonwinch-Duplicate"
	// HeaderRelayed marks a request that was relayed by another entry node.
	HeaderRelayed = "Wigeonwinch-Relayed"
	// HeaderWorkerRefused is set by a worker that did not run the request.
	HeaderWorkerRefused = "Wigeonwinch-Worker-Refused"
)

// retrySameID is the value of HeaderRetry.
const retrySameID = "same-id"

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// reservedHeaders are set only by this package.
var reservedHeaders = []string{
	HeaderOutcome, HeaderReason, HeaderRetry, HeaderDuplicate, HeaderRelayed,
	HeaderWorkerRefused,
}

// copyHeaders copies the end-to-end headers, without the reserved ones.
func copyHeaders(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, line := range from["Connection"] {
		for _, name := range strings.Split(line, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	deleteAll(to, hopByHopHeaders)
	deleteAll(to, reservedHeaders)
}

func deleteAll(h http.Header, names []string) {
	for _, name := range names {
		delete(h, name)
	}
}
