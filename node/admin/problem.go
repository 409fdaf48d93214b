package admin

import (
	"encoding/json"
	"net/http"

	"wigeonwinch/fleet/manifest"
)

// Problem is a problem details object (RFC 9457).
type Problem struct {
	// Title is a short summary of the problem.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail explains the problem and what the caller can do about it.
	Detail string `json:"detail,omitempty"`
	// Errors lists all problems found in a manifest.
	Errors []manifest.Problem `json:"errors,omitempty"`
}

// WriteProblem writes a response with the status and problem. It sets p.Status.
func WriteProblem(w http.ResponseWriter, status int, p Problem) {
	p.Status = status
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

// WriteJSON writes a response with the status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body)
}

// pageHead is the text of docs/API.md above the rows of the table of routes.
const pageHead = `# Administration API

HTTP with JSON bodies on the node's ` + "`admin_address`" + `. Send ` + "`Authorization: Bearer TOKEN`" + `;
tokens of the role publish may also read. Errors are problem details
(RFC 9457) with ` + "`title`, `status`, `detail`" + ` and, for manifests, ` + "`errors`" + `.

| method | path | role | meaning | query |
| --- | --- | --- | --- | --- |
`

// pageTail is the text of docs/API.md below the table of routes.
const pageTail = `
A publish answers with ` + "`outcome`" + `:

| outcome | status | meaning |
| --- | --- | --- |
| ` + "`accepted`" + ` | 200 | In force from ` + "`offset`" + ` on, as ` + "`generation`" + `. |
| ` + "`unchanged`" + ` | 200 | The manifest says what is already in force. |
| ` + "`refused`" + ` | 409 or 422 | Not in force; ` + "`reason`" + ` and ` + "`detail`" + ` or ` + "`errors`" + ` say why. |
| ` + "`not_known`" + ` | 504 | The log's answer was lost. Ask ` + "`GET /v1/publishes/{key}`" + ` or send the same body again. |
`

// ReferencePage returns the text of docs/API.md, generated from the routes.
func ReferencePage() string {
	page := pageHead
	for _, r := range Routes() {
		page += "| " + r.Method + " | `" + r.Path + "` | " + string(r.Role) + " | " + r.Meaning + " | " + r.Query + " |\n"
	}
	return page + pageTail
}
