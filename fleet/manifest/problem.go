package manifest

import "fmt"

// Problem is one fault in a manifest.
type Problem struct {
	// Field is the path of the faulty value, such as vms[3].zone.
	Field string `json:"field"`
	// Item is the name of the item that the field belongs to, if it has one.
	Item string `json:"item,omitempty"`
	// Value is the faulty value as text; empty when it is missing.
	Value string `json:"value,omitempty"`
	// Remedy says what is wrong and what to do about it.
	Remedy string `json:"remedy"`
}

// Error names the field with its item, the value and the remedy.
func (p Problem) Error() string {
	place := p.Field
	if p.Item != "" {
		place += " (" + p.Item + ")"
	}
	if p.Value == "" {
		return fmt.Sprintf("%s: %s", place, p.Remedy)
	}
	return fmt.Sprintf("%s: %q: %s", place, p.Value, p.Remedy)
}

// problems collects faults while a manifest is checked.
type problems struct {
	list []Problem
}

func (p *problems) add(field, value, format string, args ...any) {
	p.list = append(p.list, Problem{
		Field:  field,
		Value:  value,
		Remedy: fmt.Sprintf(format, args...),
	})
}
