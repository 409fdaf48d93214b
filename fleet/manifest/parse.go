package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	santhosh "github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"

	"wigeonwinch/fleet/structs"
)

// MaxBytes bounds the JSON text of a manifest.
const MaxBytes = 16 << 20

// maxValueBytes bounds the text of a faulty value in a problem.
const maxValueBytes = 80

var plainKey = regexp.MustCompile(`^[A-Za-z0-9_-]{1,63}$`)

// Parse reads a manifest and checks it. It returns every problem at once and
// no manifest unless there is none.
func Parse(data []byte) (*structs.Manifest, []Problem) {
	m, list := decode(data)
	if len(list) > 0 {
		return nil, list
	}
	if list := Check(m); len(list) > 0 {
		return nil, list
	}
	return m, nil
}

// decode reads a manifest and checks its layout: keys and types.
func decode(data []byte) (*structs.Manifest, []Problem) {
	p := &problems{}
	if len(data) > MaxBytes {
		p.add("manifest", "", "has %d bytes: use at most %d", len(data), MaxBytes)
		return nil, p.list
	}
	doc, err := santhosh.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		p.syntax(data, err)
		return nil, p.list
	}
	schema, err := compiledSchema()
	if err != nil {
		p.add("manifest", "", "the schema can't be loaded, report this as a defect: %v", err)
		return nil, p.list
	}
	var invalid *santhosh.ValidationError
	if err := schema.Validate(doc); errors.As(err, &invalid) {
		p.layout(doc, invalid)
	}
	p.numbers(doc, "", "")
	m := &structs.Manifest{}
	if err := json.Unmarshal(data, m); err != nil && len(p.list) == 0 {
		p.add("manifest", "", "can't be read (%v): correct the text", err)
	}
	if _, ok := doc.(map[string]any); !ok {
		return nil, p.list
	}
	if len(p.list) > 0 {
		return nil, nameItems(m, p.withValues(m))
	}
	normalise(m)
	return m, nil
}

// withValues adds the faults of single values to those of the layout. What
// was read in part is not checked for contradictions, and a field is reported
// once.
func (p *problems) withValues(m *structs.Manifest) []Problem {
	reported := map[string]bool{}
	for _, problem := range p.list {
		reported[problem.Field] = true
	}
	values := &problems{}
	values.values(m)
	for _, problem := range values.list {
		if !reported[problem.Field] {
			p.list = append(p.list, problem)
		}
	}
	return p.list
}

// normalise writes an empty optional list as an absent one, as the log's
// encoding does, so that equal manifests compare equal.
func normalise(m *structs.Manifest) {
	for i := range m.Waves {
		if len(m.Waves[i].Pools) == 0 {
			m.Waves[i].Pools = nil
		}
	}
}

// syntax reports text that is not JSON, with the line of the fault.
func (p *problems) syntax(data []byte, err error) {
	var fault *json.SyntaxError
	switch {
	case errors.As(err, &fault):
		line := 1 + bytes.Count(data[:min(int(fault.Offset), len(data))], []byte("\n"))
		p.add("manifest", "", "is not valid JSON near line %d (%v): correct the text", line, err)
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		p.add("manifest", "", "ends too early: the JSON text is cut off or empty")
	default:
		p.add("manifest", "", "is not one JSON object (%v): correct the text", err)
	}
}

// layout turns the validator's tree of faults into problems, in a fixed
// order.
func (p *problems) layout(doc any, fault *santhosh.ValidationError) {
	if len(fault.Causes) == 0 {
		p.fault(doc, fault)
	}
	for _, cause := range fault.Causes {
		p.layout(doc, cause)
	}
	sort.SliceStable(p.list, func(i, j int) bool { return p.list[i].Field < p.list[j].Field })
}

func (p *problems) fault(doc any, fault *santhosh.ValidationError) {
	field := fieldPath(doc, fault.InstanceLocation)
	value := valueAt(doc, fault.InstanceLocation)
	switch k := fault.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, key := range k.Properties {
			p.unknownKey(join(field, key), key, fault)
		}
	case *kind.Required:
		for _, key := range k.Missing {
			p.add(join(field, key), "", "is missing: add this key")
		}
	case *kind.Type:
		p.add(orRoot(field), shorten(value), "has the JSON type %s: use %s", k.Got, strings.Join(k.Want, " or "))
	default:
		p.add(orRoot(field), shorten(value), "does not match the schema (%v): correct the value", fault.ErrorKind)
	}
}

func (p *problems) unknownKey(field, key string, fault *santhosh.ValidationError) {
	if near := nearestKey(key, knownKeys(fault.SchemaURL)); near != "" {
		p.add(field, "", "is not a known key: did you mean %q?", near)
		return
	}
	p.add(field, "", "is not a known key: remove it")
}

// fieldPath writes a location as vms[3].zone.
func fieldPath(doc any, location []string) string {
	path := ""
	for _, step := range location {
		if list, ok := doc.([]any); ok {
			i, err := strconv.Atoi(step)
			if err != nil || i < 0 || i >= len(list) {
				return path
			}
			path += "[" + step + "]"
			doc = list[i]
			continue
		}
		path = join(path, step)
		if object, ok := doc.(map[string]any); ok {
			doc = object[step]
		}
	}
	return path
}

// valueAt returns the value at a location as JSON text.
func valueAt(doc any, location []string) string {
	for _, step := range location {
		switch node := doc.(type) {
		case map[string]any:
			doc = node[step]
		case []any:
			i, err := strconv.Atoi(step)
			if err != nil || i < 0 || i >= len(node) {
				return ""
			}
			doc = node[i]
		}
	}
	if text, ok := doc.(string); ok {
		return text
	}
	data, err := json.Marshal(doc)
	if err != nil {
		return fmt.Sprint(doc)
	}
	return string(data)
}

// join appends a key to a path. A key that is no plain word is quoted.
func join(path, key string) string {
	if !plainKey.MatchString(key) {
		key = strconv.Quote(shorten(key))
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

func orRoot(field string) string {
	if field == "" {
		return "manifest"
	}
	return field
}

func shorten(value string) string {
	if len(value) <= maxValueBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxValueBytes], "") + "..."
}
