package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
)

// The labels keep the proof of one side from serving as the other's.
const (
	labelAccepting = "wigeonwinch peer accepting"
	labelDialing   = "wigeonwinch peer dialing"
)

// keyring holds the accepted keys; the first one is used to prove.
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

// matching returns the key that made the proof.
func (k keyring) matching(label string, dialing, accepting, got []byte) ([]byte, bool) {
	for _, key := range k {
		if hmac.Equal(got, prove(key, label, dialing, accepting)) {
			return key, true
		}
	}
	return nil, false
}

// prove authenticates both hello messages, and with them both nonces.
func prove(key []byte, label string, dialing, accepting []byte) []byte {
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
