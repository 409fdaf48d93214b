package defaults

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestSet(t *testing.T) {
	count, negative, span := 0, -2, 3*time.Second
	Set(&count, 7)
	Set(&negative, 7)
	Set(&span, time.Minute)
	assert.Equal(t, 7, count)
	assert.Equal(t, 7, negative)
	assert.Equal(t, 3*time.Second, span)
}
