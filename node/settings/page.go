package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"wigeonwinch/fleet/strictjson"
)

// Show returns the settings as JSON. For secrets, it shows the file or
// environment variable that holds the secret, but never the value.
func (s *Settings) Show() (string, error) {
	data, err := json.MarshalIndent(s, "", "  ")
	return string(data), err
}

// ReferencePage returns the text of docs/SETTINGS.md, generated from the struct
// tags.
func ReferencePage() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n")
	b.WriteString("One JSON file per entry node, `wigeonwinchd --settings FILE`. It is checked as a whole at the start:\n")
	b.WriteString("unknown keys, wrong types and contradictions are all listed at once, and the exit code is 2.\n")
	b.WriteString("`wigeonwinch settings check FILE` does the same without starting a node, and\n")
	b.WriteString("`wigeonwinch settings show FILE` prints the result with its defaults; secrets are shown by their source only.\n")
	writeSection(&b, "Keys", reflect.TypeFor[Settings]())
	writeSection(&b, "limits", reflect.TypeFor[Limits]())
	writeSection(&b, "timing", reflect.TypeFor[Timing]())
	writeSection(&b, "Each entry of peers", reflect.TypeFor[Peer]())
	writeSection(&b, "Each secret", reflect.TypeFor[Secret]())
	return b.String()
}

func writeSection(b *strings.Builder, title string, t reflect.Type) {
	fmt.Fprintf(b, "\n## %s\n\n| key | meaning | unit | default |\n| --- | --- | --- | --- |\n", title)
	for i := range t.NumField() {
		field := t.Field(i)
		key := strictjson.JSONKey(field)
		if key == "" {
			continue
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", key, field.Tag.Get("doc"), field.Tag.Get("unit"), field.Tag.Get("default"))
	}
}
