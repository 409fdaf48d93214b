// Package strictjson decodes JSON into a struct and reports all unknown keys
// and all values of the wrong type at once, each with its path.
//
//	var s Settings
//	problems := strictjson.Decode(data, &s)
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// maxValueBytes bounds how much of a wrong value a problem shows.
const maxValueBytes = 60

// Problem describes one error in a document.
type Problem struct {
	// Path is the location of the value, such as vms[3].zone.
	Path string `json:"path"`
	// Value is the JSON text of the value, truncated if it is long.
	Value string `json:"value"`
	// Remedy describes what to write instead.
	Remedy string `json:"remedy"`
}

// Error returns the path, the value and the remedy.
func (p Problem) Error() string {
	if p.Value == "" {
		return fmt.Sprintf("%s: %s", p.Path, p.Remedy)
	}
	return fmt.Sprintf("%s = %s: %s", p.Path, p.Value, p.Remedy)
}

// Decode decodes data into target, a pointer to a struct. It returns all
// problems, sorted by path. Values without a problem are stored in target.
func Decode(data []byte, target any) []Problem {
	if !json.Valid(data) {
		return []Problem{syntaxProblem(data)}
	}
	d := &decoder{}
	d.decodeValue("", data, reflect.ValueOf(target).Elem())
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].Path < d.problems[j].Path })
	return d.problems
}

// syntaxProblem returns a problem with the line at which the document stops
// being valid JSON.
func syntaxProblem(data []byte) Problem {
	var ignored any
	err := json.Unmarshal(data, &ignored)
	problem := Problem{Path: "document", Remedy: fmt.Sprintf("write valid JSON: %v", err)}
	var syntax *json.SyntaxError
	if e, ok := err.(*json.SyntaxError); ok {
		syntax = e
	}
	if syntax != nil {
		line := 1 + bytes.Count(data[:min(int(syntax.Offset), len(data))], []byte("\n"))
		problem.Path = fmt.Sprintf("line %d", line)
	}
	return problem
}

type decoder struct {
	problems []Problem
}

func (d *decoder) add(path string, raw []byte, remedy string) {
	shown := string(raw)
	if len(shown) > maxValueBytes {
		shown = shown[:maxValueBytes] + "..."
	}
	if path == "" {
		path = "document"
	}
	d.problems = append(d.problems, Problem{Path: path, Value: shown, Remedy: remedy})
}

func (d *decoder) decodeValue(path string, raw []byte, target reflect.Value) {
	raw = bytes.TrimSpace(raw)
	switch target.Kind() {
	case reflect.Struct:
		d.decodeObject(path, raw, target)
	case reflect.Slice:
		d.decodeArray(path, raw, target)
	case reflect.Pointer:
		d.decodePointer(path, raw, target)
	default:
		d.decodeScalar(path, raw, target)
	}
}

func (d *decoder) decodeObject(path string, raw []byte, target reflect.Value) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(raw, &members); err != nil || members == nil {
		d.add(path, raw, "write an object, {...}")
		return
	}
	for _, key := range sortedKeys(members) {
		field, ok := fieldByKey(target, key)
		if !ok {
			remedy := "remove this key; the known keys are " + strings.Join(knownKeys(target.Type()), ", ")
			d.add(join(path, key), members[key], remedy)
			continue
		}
		d.decodeValue(join(path, key), members[key], field)
	}
}

func (d *decoder) decodeArray(path string, raw []byte, target reflect.Value) {
	var elements []json.RawMessage
	if err := json.Unmarshal(raw, &elements); err != nil {
		d.add(path, raw, "write a list, [...]")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(elements), len(elements))
	for i, element := range elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), element, list.Index(i))
	}
	target.Set(list)
}

func (d *decoder) decodePointer(path string, raw []byte, target reflect.Value) {
	if string(raw) == "null" {
		return
	}
	target.Set(reflect.New(target.Type().Elem()))
	d.decodeValue(path, raw, target.Elem())
}

func (d *decoder) decodeScalar(path string, raw []byte, target reflect.Value) {
	if string(raw) == "null" {
		d.add(path, raw, "write "+describeKind(target.Kind())+" or leave the key out")
		return
	}
	if err := json.Unmarshal(raw, target.Addr().Interface()); err != nil {
		d.add(path, raw, "write "+describeKind(target.Kind()))
	}
}

func describeKind(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string in quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	}
	return "a whole number in range"
}

func fieldByKey(target reflect.Value, key string) (reflect.Value, bool) {
	for i := range target.NumField() {
		if key != "" && JSONKey(target.Type().Field(i)) == key {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func knownKeys(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		if key := JSONKey(t.Field(i)); key != "" {
			keys = append(keys, key)
		}
	}
	return keys
}

// JSONKey returns the JSON key of a struct field, or the empty string if it has
// none.
func JSONKey(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if key == "-" {
		return ""
	}
	return key
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func sortedKeys(members map[string]json.RawMessage) []string {
	keys := make([]string, 0, len(members))
	for key := range members {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
