package settings

import (
	"reflect"
	"strconv"
)

// applyDefaults sets the log level and the numbers that the file omits to their
// defaults. The defaults of numbers are in the default tags.
func (s *Settings) applyDefaults() {
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

// Defaults returns settings in which every optional key has its default.
func Defaults() Settings {
	s := Settings{}
	s.applyDefaults()
	return s
}
