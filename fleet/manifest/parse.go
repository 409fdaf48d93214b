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

// MaxBytes bounds the size of a manifest's JSON text.
const MaxBytes = 16 << 20

// maxValueBytes bounds the size of the value that a problem shows.
const maxValueBytes = 80

// plainKeyPattern matches the keys that a field path holds without quotes.
var plainKeyPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{1,63}$`)

// Parse parses and checks a manifest. It returns either the manifest or all of
// its problems.
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

// decode parses a manifest and checks its layout, that is its keys and types.
func decode(data []byte) (*structs.Manifest, []Problem) {
	p := &problemList{}
	if len(data) > MaxBytes {
		p.add("manifest", "", "has %d bytes: use at most %d", len(data), MaxBytes)
		return nil, p.list
	}
	doc, err := santhosh.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		p.addSyntaxError(data, err)
		return nil, p.list
	}
	schema, err := compiledSchema()
	if err != nil {
		p.add("manifest", "", "the schema can't be loaded, report this as a bug: %v", err)
		return nil, p.list
	}
	var invalid *santhosh.ValidationError
	if err := schema.Validate(doc); errors.As(err, &invalid) {
		p.addLayoutErrors(doc, invalid)
	}
	p.checkNumbers(doc, "", "")
	m := &structs.Manifest{}
	if err := json.Unmarshal(data, m); err != nil && len(p.list) == 0 {
		p.add("manifest", "", "can't be decoded (%v): correct the text", err)
	}
	if _, ok := doc.(map[string]any); !ok {
		return nil, p.list
	}
	if len(p.list) > 0 {
		return nil, setItemNames(m, p.withValueProblems(m))
	}
	normalise(m)
	return m, nil
}

// withValueProblems adds the problems of single values to those of the layout.
// A manifest that was only partly decoded is not checked for contradictions.
// Each field is reported once.
func (p *problemList) withValueProblems(m *structs.Manifest) []Problem {
	reported := map[string]bool{}
	for _, problem := range p.list {
		reported[problem.Field] = true
	}
	values := &problemList{}
	values.checkValues(m)
	for _, problem := range values.list {
		if !reported[problem.Field] {
			p.list = append(p.list, problem)
		}
	}
	return p.list
}

// normalise replaces empty optional lists by nil, as the encoding of the log
// does, so that equal manifests compare equal.
func normalise(m *structs.Manifest) {
	for i := range m.Waves {
		if len(m.Waves[i].Pools) == 0 {
			m.Waves[i].Pools = nil
		}
	}
}

// addSyntaxError reports text that is not valid JSON, with the line of the
// error.
func (p *problemList) addSyntaxError(data []byte, err error) {
	var syntaxErr *json.SyntaxError
	switch {
	case errors.As(err, &syntaxErr):
		line := 1 + bytes.Count(data[:min(int(syntaxErr.Offset), len(data))], []byte("\n"))
		p.add("manifest", "", "is not valid JSON near line %d (%v): correct the text", line, err)
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		p.add("manifest", "", "ends too early: the JSON text is truncated or empty")
	default:
		p.add("manifest", "", "is not one JSON object (%v): correct the text", err)
	}
}

// addLayoutErrors converts the validator's tree of errors into a list of
// problems sorted by field.
func (p *problemList) addLayoutErrors(doc any, validationErr *santhosh.ValidationError) {
	if len(validationErr.Causes) == 0 {
		p.addLayoutError(doc, validationErr)
	}
	for _, cause := range validationErr.Causes {
		p.addLayoutErrors(doc, cause)
	}
	sort.SliceStable(p.list, func(i, j int) bool { return p.list[i].Field < p.list[j].Field })
}

func (p *problemList) addLayoutError(doc any, validationErr *santhosh.ValidationError) {
	field := fieldPath(doc, validationErr.InstanceLocation)
	value := valueAt(doc, validationErr.InstanceLocation)
	switch k := validationErr.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, key := range k.Properties {
			p.addUnknownKey(join(field, key), key, validationErr)
		}
	case *kind.Required:
		for _, key := range k.Missing {
			p.add(join(field, key), "", "is missing: add this key")
		}
	case *kind.Type:
		p.add(fieldOrRoot(field), truncate(value), "has the JSON type %s: use %s", k.Got, strings.Join(k.Want, " or "))
	default:
		p.add(fieldOrRoot(field), truncate(value), "does not match the schema (%v): correct the value", validationErr.ErrorKind)
	}
}

func (p *problemList) addUnknownKey(field, key string, validationErr *santhosh.ValidationError) {
	if near := nearestKey(key, knownKeys(validationErr.SchemaURL)); near != "" {
		p.add(field, "", "is not a known key: did you mean %q?", near)
		return
	}
	p.add(field, "", "is not a known key: remove it")
}

// fieldPath formats a location as a field path, such as vms[3].zone.
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

// valueAt returns the value at a location. A string is returned as it is, any
// other value as JSON text.
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

// join appends a key to a path. It quotes a key that plainKeyPattern doesn't
// match.
func join(path, key string) string {
	if !plainKeyPattern.MatchString(key) {
		key = strconv.Quote(truncate(key))
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

func fieldOrRoot(field string) string {
	if field == "" {
		return "manifest"
	}
	return field
}

func truncate(value string) string {
	if len(value) <= maxValueBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxValueBytes], "") + "..."
}
