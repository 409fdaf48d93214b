package homes

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const keepMS = 180_000

// bookOf returns a book as a shard reads it from the store: one record a key.
func bookOf(t *testing.T, stored map[string]Home) *Book {
	var b Book
	for key, h := range stored {
		require.Equal(t, key, h.Key())
		value, err := h.Encode()
		require.NoError(t, err)
		decoded, err := Decode(value)
		require.NoError(t, err)
		b.Add(decoded)
	}
	return &b
}

// A queue that moved had the jobs of its earlier shard accepted once more, because
// only processes that had seen both configurations knew that shard (review/3).
func TestEarlierHomesAreKnownToEveryReader(t *testing.T) {
	stored := map[string]Home{}
	move := func(shard int, wallMS int64) *Book {
		b := bookOf(t, stored)
		assert.False(t, b.Settled("q", shard))
		h := b.Next("q", shard, wallMS)
		stored[h.Key()] = h
		b = bookOf(t, stored)
		assert.True(t, b.Settled("q", shard))
		return b
	}
	assert.Empty(t, move(1, 1_000).Earlier("q", 1, 1_000, keepMS))
	assert.Equal(t, []int{1}, move(2, 2_000).Earlier("q", 2, 2_000, keepMS))
	assert.Equal(t, []int{2}, move(1, 3_000).Earlier("q", 1, 3_000, keepMS), "it has come back")
	assert.ElementsMatch(t, []int{1, 2}, move(3, 4_000).Earlier("q", 3, 4_000, keepMS))
	assert.Empty(t, bookOf(t, stored).Earlier("other", 3, 4_000, keepMS))
}

// A clock that is behind made an earlier home look like the newest one.
func TestNewestHomeIsNewestWhateverTheClock(t *testing.T) {
	var b Book
	b.Add(b.Next("q", 1, 10_000))
	b.Add(b.Next("q", 2, 4_000))
	assert.True(t, b.Settled("q", 2))
	assert.False(t, b.Settled("q", 1))
}

// Earlier shards are asked only as long as callers may send a submission again.
func TestEarlierHomesExpire(t *testing.T) {
	var b Book
	b.Add(b.Next("q", 1, 1_000))
	b.Add(b.Next("q", 2, 5_000))
	assert.Equal(t, []int{1}, b.Earlier("q", 2, 5_000+keepMS, keepMS))
	assert.Empty(t, b.Earlier("q", 2, 5_001+keepMS, keepMS))
}

// Keys must fit the store's limit of 255 bytes.
func TestKeysOfLongNamesFit(t *testing.T) {
	assert.Less(t, len(Home{Queue: strings.Repeat("n", 4_000), Shard: 11}.Key()), 64)
}

// A job that runs on after its queue has moved is in an earlier home however long ago
// that was.
func TestAllShardsOfAQueueAreNamedForGood(t *testing.T) {
	var b Book
	b.Add(b.Next("q", 1, 1_000))
	b.Add(b.Next("q", 2, 5_000))
	assert.Empty(t, b.Earlier("q", 2, 5_001+keepMS, keepMS))
	assert.Equal(t, []int{1, 2}, b.Shards("q"))
	assert.Empty(t, b.Shards("other"))
}
