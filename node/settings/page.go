package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"wigeonwinch/fleet/strictjson"
)

// Show returns the settings as JSON. Secrets appear by the file or variable
// that holds them, never by value.
func (s *Settings) Show() (string, error) {
	data, err := json.MarshalIndent(s, "", "  ")
	return string(data), err
}

// Page returns docs/SETTINGS.md, written from the tags of the types.
func Page() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n")
	b.WriteString("One JSON file per entry node, `wigeonwinchd --settings FILE`. It is checked as a whole at the start:\n")
	b.WriteString("unknown keys, wrong types and contradictions are all listed at once, and the exit code is 2.\n")
	b.WriteString("`wigeonwinch settings check FILE` does the same without starting a node, and\n")
	b.WriteString("`wigeonwinch settings show FILE` prints the result with its defaults; secrets are shown by their source only.\n")
	section(&b, "Keys", reflect.TypeFor[Settings]())
	section(&b, "limits", reflect.TypeFor[Limits]())
	section(&b, "timing", reflect.TypeFor[Timing]())
	section(&b, "Each entry of peers", reflect.TypeFor[Peer]())
	section(&b, "Each secret", reflect.TypeFor[Secret]())
	return b.String()
}

func section(b *strings.Builder, title string, t reflect.Type) {
	fmt.Fprintf(b, "\n## %s\n\n| key | meaning | unit | default |\n| --- | --- | --- | --- |\n", title)
	for i := range t.NumField() {
		field := t.Field(i)
		key := strictjson.KeyOf(field)
		if key == "" {
			continue
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", key, field.Tag.Get("doc"), field.Tag.Get("unit"), field.Tag.Get("default"))
	}
}
