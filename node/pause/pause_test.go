package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		assert.True(t, For(t.Context(), time.Minute))
		assert.Equal(t, time.Minute, time.Since(began))

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.False(t, For(ctx, time.Hour))
		assert.Equal(t, time.Minute+time.Second, time.Since(began))
	})
}
