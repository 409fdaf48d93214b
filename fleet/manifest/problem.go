package manifest

import "fmt"

// Problem describes one error in a manifest.
type Problem struct {
	// Field is the path of the invalid value, such as vms[3].zone.
	Field string `json:"field"`
	// Item is the name of the item that the field belongs to, if it has one.
	Item string `json:"item,omitempty"`
	// Value is the invalid value as text. It is empty if the value is missing.
	Value string `json:"value,omitempty"`
	// Remedy describes the error and how to correct it.
	Remedy string `json:"remedy"`
}

// Error returns the field with its item, the value and the remedy.
func (p Problem) Error() string {
	location := p.Field
	if p.Item != "" {
		location += " (" + p.Item + ")"
	}
	if p.Value == "" {
		return fmt.Sprintf("%s: %s", location, p.Remedy)
	}
	return fmt.Sprintf("%s: %q: %s", location, p.Value, p.Remedy)
}

// problemList collects the problems found while a manifest is checked.
type problemList struct {
	list []Problem
}

func (p *problemList) add(field, value, format string, args ...any) {
	p.list = append(p.list, Problem{
		Field:  field,
		Value:  value,
		Remedy: fmt.Sprintf(format, args...),
	})
}
