package claims

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// KeyBytes is the size of a Key, in bytes.
const KeyBytes = 16

// Key stands for one request id of one team.
type Key [KeyBytes]byte

// KeyOf returns the key of a team's request id.
func KeyOf(team, id string) Key {
	buf := make([]byte, 0, len(team)+1+len(id))
	buf = append(buf, team...)
	buf = append(buf, 0)
	buf = append(buf, id...)
	sum := sha256.Sum256(buf)
	return Key(sum[:KeyBytes])
}

// FingerprintOf returns a digest of the work itself, so that an id which is
// used again for other work is noticed.
func FingerprintOf(method, uri string, body []byte) uint64 {
	h := sha256.New()
	_, _ = h.Write([]byte(method))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(uri))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	var sum [sha256.Size]byte
	return binary.BigEndian.Uint64(h.Sum(sum[:0]))
}

// score is the rendezvous score of a name for a key.
func score(key Key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(key[:])
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// HomeZone returns the zone with the highest rendezvous score, or an empty
// name when there are no zones. The order of zones does not matter.
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

// Member is one run of an entry node.
type Member struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// HomeMember returns the member that keeps the key. It reports false when
// there are no members.
func HomeMember(key Key, members []Member) (Member, bool) {
	first, _, n := rank(key, members)
	return first, n > 0
}

// CopyMember returns the member that becomes the key's home when the present
// one is gone. It reports false when there are fewer than two members.
func CopyMember(key Key, members []Member) (Member, bool) {
	_, second, n := rank(key, members)
	return second, n > 1
}

// rank returns the two members with the highest scores.
func rank(key Key, members []Member) (first, second Member, n int) {
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
