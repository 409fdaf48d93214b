package jobhost

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/node/peer"
)

// Load pattern: all other nodes forward a crowd's requests at the same time. They filled the
// owner's memory, and kept out the messages by which nodes work together.
func TestForwardedRequestsAreBounded(t *testing.T) {
	b := forwardBudget{limit: 1 << 20}
	var releases []func()
	for range 8 {
		release := b.take(1 << 15)
		require.NotNil(t, release)
		releases = append(releases, release)
	}
	assert.Nil(t, b.take(1<<15))
	releases[0]()
	assert.NotNil(t, b.take(1<<15))

	b = forwardBudget{}
	for range maxForwardedRequests {
		require.NotNil(t, b.take(1))
	}
	assert.Nil(t, b.take(1))
	assert.Less(t, maxForwardedRequests, peer.DefaultMaxHandlers)
}
