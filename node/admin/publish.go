package admin

import (
	"fmt"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/state"
	"wigeonwinch/fleet/structs"
)

// Outcome is the result of a publish.
type Outcome string

// The outcomes of a publish.
const (
	OutcomeAccepted  Outcome = "accepted"
	OutcomeUnchanged Outcome = "unchanged"
	OutcomeRefused   Outcome = "refused"
	OutcomeNotKnown  Outcome = "not_known"
)

// PublishResult is the response to a publish.
type PublishResult struct {
	Outcome Outcome `json:"outcome"`
	// Key identifies the publish. Looking up the outcome by it is always safe.
	Key        string             `json:"key"`
	Offset     structs.Offset     `json:"offset,omitempty"`
	Generation structs.Generation `json:"generation,omitempty"`
	// Changes is the number of items that the publish changed.
	Changes int `json:"changes,omitempty"`
	// Reason is why the publish was refused. Detail explains the reason or what
	// to do next.
	Reason structs.VoidReason `json:"reason,omitempty"`
	Detail string             `json:"detail,omitempty"`
	Errors []manifest.Problem `json:"errors,omitempty"`
	// Refusals lists every reason for which the control state refused the publish.
	Refusals []Refusal `json:"refusals,omitempty"`
}

// Refusal is one reason for which the control state refused a publish.
type Refusal struct {
	Reason structs.VoidReason `json:"reason"`
	Detail string             `json:"detail"`
}

// readManifest reads and parses the request body. If the body cannot be read,
// it writes the error response and returns false.
func (a *API) readManifest(w http.ResponseWriter, r *http.Request) ([]byte, *structs.Manifest, []manifest.Problem, bool) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		WriteProblem(w, http.StatusRequestEntityTooLarge, Problem{
			Title:  "the body could not be read",
			Detail: fmt.Sprintf("send at most %d bytes in one piece: %v", maxBodyBytes, err),
		})
		return nil, nil, nil, false
	}
	m, problems := manifest.Parse(data)
	return data, m, problems, true
}

func (a *API) checkManifest(w http.ResponseWriter, r *http.Request) {
	_, _, problems, ok := a.readManifest(w, r)
	if !ok {
		return
	}
	if len(problems) > 0 {
		WriteProblem(w, http.StatusUnprocessableEntity, Problem{Title: "the manifest has faults", Errors: problems})
		return
	}
	WriteJSON(w, http.StatusOK, map[string]string{"status": "valid"})
}

func (a *API) publishManifest(w http.ResponseWriter, r *http.Request) {
	data, m, problems, ok := a.readManifest(w, r)
	if !ok {
		return
	}
	key := PublishKey(data, a.cfg.Control.Lookup)
	if len(problems) > 0 {
		WriteJSON(w, http.StatusUnprocessableEntity, PublishResult{
			Outcome: OutcomeRefused, Key: key, Reason: structs.VoidInvalid,
			Detail: "mend every fault listed and publish again", Errors: problems,
		})
		return
	}
	view := a.requireView(w)
	if view == nil {
		return
	}
	if verdict, known := a.cfg.Control.Lookup(key); known && verdict.Void == structs.VoidNone {
		a.writeVerdict(w, key, 0, verdict, view)
		return
	}
	a.publish(w, r, key, m, view)
}

// PublishKey returns the key of a manifest. It is derived from the body, so that
// publishing the same body again is idempotent. The key of a refused publish
// cannot be used again: the same body then gets a key that is derived from the
// offset of the refusal, too.
func PublishKey(data []byte, lookup func(key string) (structs.Verdict, bool)) string {
	key := fmt.Sprintf("publish-%016x", xxhash.Sum64(data))
	for {
		verdict, known := lookup(key)
		if !known || verdict.Void == structs.VoidNone {
			return key
		}
		key = fmt.Sprintf("publish-%016x-%d", xxhash.Sum64(data), verdict.Offset)
	}
}

func (a *API) publish(w http.ResponseWriter, r *http.Request, key string, m *structs.Manifest, view *structs.View) {
	changes := manifest.Diff(view, m)
	if len(changes) == 0 {
		WriteJSON(w, http.StatusOK, PublishResult{Outcome: OutcomeUnchanged, Key: key, Offset: view.PublishedAt, Generation: view.Generation})
		return
	}
	if structs.Generation(m.BaseGeneration) != view.Generation {
		WriteJSON(w, http.StatusConflict, PublishResult{
			Outcome: OutcomeRefused, Key: key, Generation: view.Generation, Reason: structs.VoidStale,
			Detail: fmt.Sprintf("the manifest is based on generation %d, in force is %d: fetch GET /v1/manifest, generate anew and publish again", m.BaseGeneration, view.Generation),
		})
		return
	}
	rec := structs.Record{
		Key:     key,
		Writer:  a.cfg.Node,
		Publish: &structs.Publish{Base: structs.Generation(m.BaseGeneration), Changes: changes},
	}
	if refusals := a.cfg.Control.CheckPublish(r.Context(), rec.Publish); len(refusals) > 0 {
		a.writeRefusals(w, key, refusals, view)
		return
	}
	verdict, err := a.cfg.Control.Append(r.Context(), rec)
	if err != nil {
		WriteJSON(w, http.StatusGatewayTimeout, PublishResult{
			Outcome: OutcomeNotKnown, Key: key,
			Detail: "send the same manifest again or ask GET /v1/publishes/" + key + ": " + err.Error(),
		})
		return
	}
	a.writeVerdict(w, key, len(changes), verdict, a.cfg.Control.View())
}

// writeRefusals writes the response to a publish that was refused before
// anything was appended to the log.
func (a *API) writeRefusals(w http.ResponseWriter, key string, refusals []*state.Refusal, view *structs.View) {
	answer := PublishResult{
		Outcome: OutcomeRefused, Key: key, Generation: view.Generation,
		Reason: refusals[0].Void, Detail: refusals[0].Detail,
	}
	for _, refusal := range refusals {
		answer.Refusals = append(answer.Refusals, Refusal{Reason: refusal.Void, Detail: refusal.Detail})
	}
	WriteJSON(w, http.StatusConflict, answer)
}

// writeVerdict writes the response to a publish that was appended to the log,
// based on the verdict of applying it to the control state.
func (a *API) writeVerdict(w http.ResponseWriter, key string, changes int, verdict structs.Verdict, view *structs.View) {
	if verdict.Void == structs.VoidNone {
		WriteJSON(w, http.StatusOK, PublishResult{
			Outcome: OutcomeAccepted, Key: key, Offset: verdict.Offset, Generation: view.Generation, Changes: changes,
		})
		return
	}
	WriteJSON(w, http.StatusConflict, PublishResult{
		Outcome: OutcomeRefused, Key: key, Offset: verdict.Offset, Generation: view.Generation,
		Reason: verdict.Void, Detail: verdict.Detail,
	})
}

func (a *API) publishOutcome(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	verdict, known := a.cfg.Control.Lookup(key)
	if !known {
		WriteJSON(w, http.StatusNotFound, PublishResult{
			Outcome: OutcomeNotKnown, Key: key,
			Detail: "this node has not seen the key in the log; compare GET /v1/manifest, or send the same manifest again",
		})
		return
	}
	view := a.requireView(w)
	if view == nil {
		return
	}
	a.writeVerdict(w, key, 0, verdict, view)
}
