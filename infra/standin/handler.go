package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
	"wigeonwinch/infra/client"
)

const (
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 8 << 20
	// maxReadWait is the maximum wait of one read.
	maxReadWait = 30 * time.Second
	// maxReadEntries is the maximum number of entries per read.
	maxReadEntries = 1000
)

// Handler returns an HTTP handler that serves the platform protocol from a log
// and a fleet.
func Handler(log infra.Log, fleet *Fleet) http.Handler {
	h := &handler{log: log, fleet: fleet}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+client.PathAppend, h.append)
	mux.HandleFunc("GET "+client.PathRead, h.read)
	mux.HandleFunc("GET "+client.PathVMs, h.list)
	mux.HandleFunc("POST "+client.PathAct, h.act)
	mux.HandleFunc("GET "+client.PathUsage, h.usage)
	return mux
}

type handler struct {
	log   infra.Log
	fleet *Fleet
}

func (h *handler) append(w http.ResponseWriter, r *http.Request) {
	var body client.AppendRequest
	if !readJSON(w, r, &body) {
		return
	}
	first, err := h.log.Append(r.Context(), body.Entries)
	if infra.KindOf(err) == infra.KindUnknown {
		panic(http.ErrAbortHandler) // closes the connection, so that the client gets no answer
	}
	writeResponse(w, client.AppendResponse{First: first}, err)
}

func (h *handler) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		reject(w, "from must be an offset")
		return
	}
	max, err := strconv.Atoi(r.URL.Query().Get("max"))
	if err != nil || max < 1 {
		reject(w, "max must be a positive number of entries")
		return
	}
	waitMS, err := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || waitMS < 0 {
		reject(w, "wait_ms must be a number of milliseconds")
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxReadWait)
	batch, err := h.log.Read(r.Context(), structs.Offset(from), min(max, maxReadEntries), wait)
	body := client.ReadResponse{First: batch.First, Next: batch.Next, Start: structs.Offset(from)}
	for _, entry := range batch.Entries {
		body.Entries = append(body.Entries, entry.Data)
	}
	writeResponse(w, body, err)
}

func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	vms, err := h.fleet.List(r.Context())
	writeResponse(w, vms, err)
}

func (h *handler) act(w http.ResponseWriter, r *http.Request) {
	var action infra.Action
	if !readJSON(w, r, &action) {
		return
	}
	writeResponse(w, struct{}{}, h.fleet.Act(r.Context(), action))
}

func (h *handler) usage(w http.ResponseWriter, r *http.Request) {
	usage, err := h.fleet.Usage(r.Context())
	writeResponse(w, usage, err)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		reject(w, "the body is too large or was cut")
		return false
	}
	if err := json.Unmarshal(data, into); err != nil {
		reject(w, "the body is not the JSON expected: "+err.Error())
		return false
	}
	return true
}

func reject(w http.ResponseWriter, detail string) {
	writeResponse(w, nil, &infra.Error{Kind: infra.KindRefused, Remedy: detail})
}

func writeResponse(w http.ResponseWriter, body any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err == nil {
		_ = json.NewEncoder(w).Encode(body)
		return
	}
	var perr *infra.Error
	if !errors.As(err, &perr) {
		perr = &infra.Error{Kind: infra.KindUnavailable, Remedy: err.Error()}
	}
	w.WriteHeader(httpStatus(perr.Kind))
	_ = json.NewEncoder(w).Encode(client.ErrorResponse{Kind: perr.Kind, Detail: perr.Remedy, First: perr.First})
}

func httpStatus(kind infra.Kind) int {
	switch kind {
	case infra.KindTrimmed:
		return http.StatusGone
	case infra.KindRateLimited:
		return http.StatusTooManyRequests
	case infra.KindFenced:
		return http.StatusConflict
	case infra.KindRefused:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}
