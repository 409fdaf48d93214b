package claims

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// KeyBytes is the size of a Key, in bytes.
const KeyBytes = 16

// Key is the digest of a team and one of its request ids.
type Key [KeyBytes]byte

// NewKey returns the key of a team's request id.
func NewKey(team, id string) Key {
	buf := make([]byte, 0, len(team)+1+len(id))
	buf = append(buf, team...)
	buf = append(buf, 0)
	buf = append(buf, id...)
	sum := sha256.Sum256(buf)
	return Key(sum[:KeyBytes])
}

// Fingerprint returns a digest of the request's content. It detects that an
// id is reused for a different request.
func Fingerprint(method, uri string, body []byte) uint64 {
	h := sha256.New()
	_, _ = h.Write([]byte(method))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(uri))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	var sum [sha256.Size]byte
	return binary.BigEndian.Uint64(h.Sum(sum[:0]))
}

// score returns the rendezvous hashing score of a name for a key.
func score(key Key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(key[:])
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// HomeZone returns the home zone of a key: the zone with the highest
// rendezvous score. It returns an empty name when there are no zones. The
// order of zones does not matter.
func HomeZone(key Key, zones []string) string {
	best := ""
	var bestScore uint64
	for _, zone := range zones {
		s := score(key, zone)
		if best == "" || s > bestScore || (s == bestScore && zone < best) {
			best = zone
			bestScore = s
		}
	}
	return best
}

// Member is one incarnation of an entry node.
type Member struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// HomeMember returns the home node of a key. It reports false when there are
// no members.
func HomeMember(key Key, members []Member) (Member, bool) {
	first, _, n := topTwo(key, members)
	return first, n > 0
}

// ReplicaMember returns the member that stores the replicas of a key's claims.
// It becomes the home node when the current one leaves the membership.
// ReplicaMember reports false when there are fewer than two members.
func ReplicaMember(key Key, members []Member) (Member, bool) {
	_, second, n := topTwo(key, members)
	return second, n > 1
}

// topTwo returns the two members with the highest scores for a key, and the
// number of members.
func topTwo(key Key, members []Member) (first, second Member, n int) {
	var firstScore, secondScore uint64
	for _, m := range members {
		s := score(key, m.Node)
		switch {
		case n == 0 || s > firstScore || (s == firstScore && m.Node < first.Node):
			second, secondScore = first, firstScore
			first, firstScore = m, s
		case n == 1 || s > secondScore || (s == secondScore && m.Node < second.Node):
			second, secondScore = m, s
		}
		n++
	}
	return first, second, n
}
