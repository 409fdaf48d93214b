package manifest

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
)

// numberKinds holds the kind in which the number under a key is stored. Keys
// that are not listed hold signed integers.
var numberKinds = findNumberKinds()

func findNumberKinds() map[string]reflect.Kind {
	kinds := map[string]reflect.Kind{}
	for _, item := range itemTypes {
		for i := range item.NumField() {
			field := item.Field(i)
			if kind := field.Type.Kind(); kind == reflect.Float64 || kind == reflect.Uint64 {
				kinds[jsonKey(field)] = kind
			}
		}
	}
	return kinds
}

// checkNumbers reports the numbers that the schema allows but that do not fit
// their field. The key is that of the nearest enclosing object member.
func (p *problemList) checkNumbers(node any, path, key string) {
	switch node := node.(type) {
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(node)) {
			p.checkNumbers(node[k], join(path, k), k)
		}
	case []any:
		for i, item := range node {
			p.checkNumbers(item, fmt.Sprintf("%s[%d]", path, i), key)
		}
	case json.Number:
		p.checkNumber(path, key, node.String())
	}
}

func (p *problemList) checkNumber(path, key, text string) {
	var err error
	remedy := "use a whole number that fits 64 bits, without fraction or exponent"
	switch numberKinds[key] {
	case reflect.Float64:
		_, err = strconv.ParseFloat(text, 64)
		remedy = "use a smaller number"
	case reflect.Uint64:
		_, err = strconv.ParseUint(text, 10, 64)
		remedy = "use a whole number of at least 0, without fraction or exponent"
	default:
		_, err = strconv.ParseInt(text, 10, 64)
	}
	if err != nil {
		p.add(fieldOrRoot(path), truncate(text), "%s", remedy)
	}
}
