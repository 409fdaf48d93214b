package settings

import (
	"reflect"
	"strconv"
)

// complete fills the numbers that the file left out from the default tags.
func (s *Settings) complete() {
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	fillDefaults(reflect.ValueOf(&s.Limits).Elem())
	fillDefaults(reflect.ValueOf(&s.Timing).Elem())
}

func fillDefaults(group reflect.Value) {
	for i := range group.NumField() {
		field := group.Field(i)
		if field.Int() != 0 {
			continue
		}
		value, err := strconv.ParseInt(group.Type().Field(i).Tag.Get("default"), 10, 64)
		if err != nil {
			panic("settings: a default tag is not a number: " + group.Type().Field(i).Name)
		}
		field.SetInt(value)
	}
}

// Defaults returns settings with every optional key at its default.
func Defaults() Settings {
	s := Settings{}
	s.complete()
	return s
}
