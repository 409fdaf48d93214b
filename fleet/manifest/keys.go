package manifest

import (
	"reflect"
	"strings"

	"wigeonwinch/fleet/structs"
)

// maxKeyDistance is the maximum edit distance between an unknown key and the
// known key that is suggested instead.
const maxKeyDistance = 3

// itemTypes holds the types of the objects in a manifest by their name in the
// schema.
var itemTypes = map[string]reflect.Type{
	"Manifest": reflect.TypeFor[structs.Manifest](),
	"Zone":     reflect.TypeFor[structs.Zone](),
	"Team":     reflect.TypeFor[structs.Team](),
	"Pool":     reflect.TypeFor[structs.Pool](),
	"VM":       reflect.TypeFor[structs.VM](),
	"Budget":   reflect.TypeFor[structs.Budget](),
	"Service":  reflect.TypeFor[structs.Service](),
	"Window":   reflect.TypeFor[structs.Window](),
	"Wave":     reflect.TypeFor[structs.Wave](),
}

// knownKeys returns the keys of the object that a schema location describes.
func knownKeys(schemaURL string) []string {
	name := schemaURL[strings.LastIndex(schemaURL, "/")+1:]
	item, ok := itemTypes[name]
	if !ok {
		return nil
	}
	var keys []string
	for i := range item.NumField() {
		keys = append(keys, jsonKey(item.Field(i)))
	}
	return keys
}

// jsonKey returns the key of a struct field in JSON.
func jsonKey(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return key
}

// nearestKey returns the known key with the smallest edit distance to key, or
// the empty string if none is close enough.
func nearestKey(key string, known []string) string {
	best := ""
	bestDistance := min(maxKeyDistance, len(key)-1) + 1
	for _, candidate := range known {
		if d := editDistance(key, candidate); d < bestDistance {
			best = candidate
			bestDistance = d
		}
	}
	return best
}

// editDistance returns the number of single-byte edits that turn a into b.
// If a is longer than MaxNameBytes, it returns the length of a.
func editDistance(a, b string) int {
	if len(a) > MaxNameBytes {
		return len(a)
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := diagonal
			if a[i-1] != b[j-1] {
				cost = 1 + min(diagonal, row[j], row[j-1])
			}
			diagonal = row[j]
			row[j] = cost
		}
	}
	return row[len(b)]
}
