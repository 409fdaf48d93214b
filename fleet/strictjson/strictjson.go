// Package strictjson decodes JSON into a struct and reports every unknown key
// and every value of the wrong type at once, each with its path.
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

// maxShownBytes bounds how much of a wrong value a problem shows.
const maxShownBytes = 60

// Problem is one thing wrong with a document.
type Problem struct {
	// Path names the key, such as vms[3].zone.
	Path string `json:"path"`
	// Value is the value found, shortened.
	Value string `json:"value"`
	// Remedy says what to write instead.
	Remedy string `json:"remedy"`
}

// Error returns the path, the value and the remedy.
func (p Problem) Error() string {
	if p.Value == "" {
		return fmt.Sprintf("%s: %s", p.Path, p.Remedy)
	}
	return fmt.Sprintf("%s = %s: %s", p.Path, p.Value, p.Remedy)
}

// Decode fills target, a pointer to a struct, from data. It returns all
// problems in the order of their paths; values without a problem are filled.
func Decode(data []byte, target any) []Problem {
	if !json.Valid(data) {
		return []Problem{syntaxProblem(data)}
	}
	d := &decoder{}
	d.value("", data, reflect.ValueOf(target).Elem())
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].Path < d.problems[j].Path })
	return d.problems
}

// syntaxProblem says where the document stops being JSON.
func syntaxProblem(data []byte) Problem {
	var probe any
	err := json.Unmarshal(data, &probe)
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

func (d *decoder) report(path string, raw []byte, remedy string) {
	shown := string(raw)
	if len(shown) > maxShownBytes {
		shown = shown[:maxShownBytes] + "..."
	}
	if path == "" {
		path = "document"
	}
	d.problems = append(d.problems, Problem{Path: path, Value: shown, Remedy: remedy})
}

func (d *decoder) value(path string, raw []byte, target reflect.Value) {
	raw = bytes.TrimSpace(raw)
	switch target.Kind() {
	case reflect.Struct:
		d.object(path, raw, target)
	case reflect.Slice:
		d.array(path, raw, target)
	case reflect.Pointer:
		d.pointer(path, raw, target)
	default:
		d.scalar(path, raw, target)
	}
}

func (d *decoder) object(path string, raw []byte, target reflect.Value) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(raw, &members); err != nil || members == nil {
		d.report(path, raw, "write an object, {...}")
		return
	}
	for _, key := range sortedKeys(members) {
		field, ok := fieldByKey(target, key)
		if !ok {
			remedy := "remove it; the keys here are " + strings.Join(keysOf(target.Type()), ", ")
			d.report(join(path, key), members[key], remedy)
			continue
		}
		d.value(join(path, key), members[key], field)
	}
}

func (d *decoder) array(path string, raw []byte, target reflect.Value) {
	var elements []json.RawMessage
	if err := json.Unmarshal(raw, &elements); err != nil {
		d.report(path, raw, "write a list, [...]")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(elements), len(elements))
	for i, element := range elements {
		d.value(fmt.Sprintf("%s[%d]", path, i), element, list.Index(i))
	}
	target.Set(list)
}

func (d *decoder) pointer(path string, raw []byte, target reflect.Value) {
	if string(raw) == "null" {
		return
	}
	target.Set(reflect.New(target.Type().Elem()))
	d.value(path, raw, target.Elem())
}

func (d *decoder) scalar(path string, raw []byte, target reflect.Value) {
	if string(raw) == "null" {
		d.report(path, raw, "write "+nameOf(target.Kind())+" or leave the key out")
		return
	}
	if err := json.Unmarshal(raw, target.Addr().Interface()); err != nil {
		d.report(path, raw, "write "+nameOf(target.Kind()))
	}
}

func nameOf(kind reflect.Kind) string {
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
		if key != "" && KeyOf(target.Type().Field(i)) == key {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func keysOf(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		if key := KeyOf(t.Field(i)); key != "" {
			keys = append(keys, key)
		}
	}
	return keys
}

// KeyOf returns the JSON key of a struct field, or the empty string when it
// has none.
func KeyOf(field reflect.StructField) string {
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
