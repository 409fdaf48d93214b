package intake

import (
	"github.com/pkg/errors"

	"wigeonwinch/jobs/spec"
)

// Shape bounds what a JSON text may hold, as short values take up much more memory
// decoded than sent.
type Shape struct {
	// Objects and Values bound the objects and the values in the whole text, StringBytes
	// the bytes of one string as sent.
	Objects, Values, StringBytes int
}

// escapeBytes is the length of an escaped byte in a JSON string.
const escapeBytes = 6

// JobShape is beyond all valid jobs, with room for fields that are not known.
var JobShape = Shape{Objects: 16 * spec.MaxSteps, Values: 4 * spec.MaxSteps * spec.MaxSteps, StringBytes: escapeBytes * spec.MaxNameBytes}

// shortText is the length up to which a text needs no check.
const shortText = firstPartBytes

// Check returns an error if a text holds more than the shape allows. It does not tell
// whether the text is valid.
func (s Shape) Check(text []byte) error {
	if len(text) <= shortText {
		return nil
	}
	objects, values := 0, 1
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '{':
			objects++
		case ',':
			values++
		case '"':
			end := endOfString(text, i+1)
			if end-i-1 > s.StringBytes {
				return errors.Errorf("a string has more than %d bytes: shorten it", s.StringBytes)
			}
			i = end
		}
		if objects > s.Objects || values > s.Values {
			return errors.Errorf("the body has more than %d objects or %d values: leave some out", s.Objects, s.Values)
		}
	}
	return nil
}

// endOfString returns the index of the quote that ends a string, or the text's length.
func endOfString(text []byte, i int) int {
	for ; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}
