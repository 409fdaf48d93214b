package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
)

// The proof labels differ by side, so that a proof made by one side cannot be
// reflected as the proof of the other side.
const (
	labelAccepting = "wigeonwinch peer accepting"
	labelDialing   = "wigeonwinch peer dialing"
)

// keyring holds the accepted keys. The first key signs this node's own proofs.
type keyring [][]byte

func newKeyring(keys ...[]byte) keyring {
	var ring keyring
	for _, key := range keys {
		if len(key) > 0 {
			ring = append(ring, key)
		}
	}
	return ring
}

// verify returns the key that the proof was computed with. It returns false
// if no accepted key matches.
func (k keyring) verify(label string, dialing, accepting, proof []byte) ([]byte, bool) {
	for _, key := range k {
		if hmac.Equal(proof, computeProof(key, label, dialing, accepting)) {
			return key, true
		}
	}
	return nil, false
}

// computeProof returns an HMAC over the label and both encoded hello messages,
// which contain the nonces of both sides.
func computeProof(key []byte, label string, dialing, accepting []byte) []byte {
	mac := hmac.New(sha256.New, key)
	dialingSum := sha256.Sum256(dialing)
	acceptingSum := sha256.Sum256(accepting)
	mac.Write([]byte(label))
	mac.Write(dialingSum[:])
	mac.Write(acceptingSum[:])
	return mac.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	return nonce
}
