package customer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func digestOf(key string) []byte {
	d := DigestKey(key)
	return d[:]
}

// A key names its customer; what is no key of the configuration names nobody, nor do the
// empty key and a digest of another length.
func TestKeyIndexFindsTheCustomerOfAKey(t *testing.T) {
	var x KeyIndex
	_, ok := x.Find(digestOf("red-1"))
	assert.False(t, ok, "an empty index")
	for key, customer := range map[string]string{"red-1": "red", "red-2": "red", "blue-1": "blue", "": "nobody"} {
		x.Add(DigestKey(key), customer)
	}
	x.Add(DigestKey("red-1"), "blue")
	for key, want := range map[string]string{"red-1": "red", "red-2": "red", "blue-1": "blue"} {
		customer, ok := x.Find(digestOf(key))
		assert.True(t, ok, key)
		assert.Equal(t, want, customer, key)
	}
	for _, digest := range [][]byte{digestOf("red-3"), digestOf(""), nil, digestOf("red-1")[:31]} {
		_, ok := x.Find(digest)
		assert.False(t, ok)
	}
	assert.Equal(t, 3, x.Len())
}

// Two digests with the same prefix are two keys.
func TestKeyIndexComparesWholeDigests(t *testing.T) {
	var x KeyIndex
	a := DigestKey("a")
	b := a
	b[31] ^= 1
	x.Add(a, "red")
	_, ok := x.Find(b[:])
	assert.False(t, ok)
	x.Add(b, "blue")
	customer, _ := x.Find(b[:])
	assert.Equal(t, "blue", customer)
}

func TestMayAccess(t *testing.T) {
	for _, test := range []struct {
		name            string
		caller          Caller
		customer, queue string
		want            bool
	}{
		{"the customer itself", Caller{Customer: "red", Queue: "q"}, "red", "q", true},
		{"through another queue", Caller{Customer: "red", Queue: "other"}, "red", "q", true},
		{"another customer", Caller{Customer: "blue", Queue: "q"}, "red", "q", false},
		{"a job from before there were customers", Caller{Customer: "blue", Queue: "q"}, "", "q", true},
		{"such a job through another queue", Caller{Customer: "blue", Queue: "other"}, "", "q", false},
		{"the queue has become public", Caller{Queue: "q"}, "red", "q", true},
		{"a public queue beside the job's", Caller{Queue: "public"}, "red", "q", false},
		{"no customers at all", Caller{Queue: "other"}, "", "q", true},
		{"an operator", Caller{Operator: true}, "red", "q", true},
	} {
		assert.Equal(t, test.want, test.caller.MayAccess(test.customer, test.queue), test.name)
	}
}
