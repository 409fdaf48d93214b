package forward

import (
	"net/http"
	"strings"
)

// The headers of the contract with callers and backend servers.
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
	// HeaderRetry is "same-id" when sending again under the same id is safe.
	HeaderRetry = "Wigeonwinch-Retry"
	// HeaderDuplicate is "yes" on an answer that an earlier copy produced.
	HeaderDuplicate = "Wigeonwinch-Duplicate"
	// HeaderRelayed marks a request that another entry node passes on.
	HeaderRelayed = "Wigeonwinch-Relayed"
	// HeaderWorkerRefused is set by a worker that did not run the work.
	HeaderWorkerRefused = "Wigeonwinch-Worker-Refused"
)

// retrySameID is the value of HeaderRetry.
const retrySameID = "same-id"

// hopHeaders belong to one connection and are never passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownHeaders are set by this package only.
var ownHeaders = []string{
	HeaderOutcome, HeaderReason, HeaderRetry, HeaderDuplicate, HeaderRelayed,
	HeaderWorkerRefused,
}

// copyHeaders copies the end-to-end headers.
func copyHeaders(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, line := range from["Connection"] {
		for _, name := range strings.Split(line, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	deleteAll(to, hopHeaders)
	deleteAll(to, ownHeaders)
}

func deleteAll(h http.Header, names []string) {
	for _, name := range names {
		delete(h, name)
	}
}
