package customer

import (
	"crypto/subtle"
	"encoding/binary"
)

// KeyIndex finds the customer of a key. It is built once for each configuration.
type KeyIndex struct {
	// byPrefix holds the keys by the first bytes of their digests. Digests with the same
	// prefix are compared in constant time.
	byPrefix map[uint64][]indexedKey
	keys     int
}

type indexedKey struct {
	digest   KeyDigest
	customer string
}

// Add adds a key of a customer. A key that two customers have belongs to the first.
// The empty key names nobody.
func (x *KeyIndex) Add(d KeyDigest, customer string) {
	if _, ok := x.Find(d[:]); ok || d == DigestKey("") {
		return
	}
	if x.byPrefix == nil {
		x.byPrefix = map[uint64][]indexedKey{}
	}
	x.keys++
	p := prefixOf(d[:])
	x.byPrefix[p] = append(x.byPrefix[p], indexedKey{d, customer})
}

// Find returns the customer of the key with the given digest.
func (x *KeyIndex) Find(digest []byte) (customer string, ok bool) {
	if len(digest) != len(KeyDigest{}) {
		return "", false
	}
	for _, k := range x.byPrefix[prefixOf(digest)] {
		if subtle.ConstantTimeCompare(k.digest[:], digest) == 1 {
			customer, ok = k.customer, true
		}
	}
	return customer, ok
}

// Len returns the number of keys.
func (x *KeyIndex) Len() int { return x.keys }

func prefixOf(digest []byte) uint64 { return binary.BigEndian.Uint64(digest) }
