package peer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func FuzzDecodeFrame(f *testing.F) {
	for _, seed := range []frame{
		{Kind: frameCall, ID: 1, Method: 100, Body: []byte("x")},
		{Kind: frameReply, ID: 1, Refusal: RefusalBusy},
		{Kind: frameCast, Method: 101},
		{Kind: 99, ID: 7},
	} {
		data, err := encodeFrame(seed)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte{0xbf, 0x01, 0xff})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := decodeFrame(data)
		if err != nil || len(message.Body) > MaxBodyBytes {
			return
		}
		encoded, err := encodeFrame(message)
		require.NoError(t, err)
		decoded, err := decodeFrame(encoded)
		require.NoError(t, err)
		require.Equal(t, message.ID, decoded.ID)
	})
}

func FuzzDecodeHello(f *testing.F) {
	data, err := encMode.Marshal(hello{MinVersion: 1, MaxVersion: 9, Node: "e-1", Nonce: newNonce()})
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{0xa1, 0x03, 0x60})
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := decodeHello(data)
		if err != nil {
			return
		}
		require.NotEmpty(t, h.Node)
		require.Len(t, h.Nonce, nonceBytes)
	})
}

func TestDecodeFrameIgnoresUnknownFields(t *testing.T) {
	type newerFrame struct {
		frame
		Trace string `cbor:"40,keyasint"`
	}
	data, err := encMode.Marshal(newerFrame{frame: frame{Kind: frameCast, Method: 3}, Trace: "t"})
	require.NoError(t, err)
	f, err := decodeFrame(data)
	require.NoError(t, err)
	require.Equal(t, uint16(3), f.Method)
}

func TestCommonVersion(t *testing.T) {
	cases := []struct {
		a, b hello
		want int
		ok   bool
	}{
		{hello{MinVersion: 1, MaxVersion: 2}, hello{MinVersion: 1, MaxVersion: 5}, 2, true},
		{hello{MinVersion: 1, MaxVersion: 1}, hello{MinVersion: 1, MaxVersion: 2}, 1, true},
		{hello{MinVersion: 3, MaxVersion: 4}, hello{MinVersion: 1, MaxVersion: 2}, 2, false},
		{hello{}, hello{}, 0, false},
	}
	for _, c := range cases {
		version, ok := commonVersion(c.a, c.b)
		require.Equal(t, c.ok, ok)
		if ok {
			require.Equal(t, c.want, version)
		}
	}
}

func TestProofIsRejectedForOtherSide(t *testing.T) {
	ring := newKeyring([]byte("key"))
	proof := computeProof([]byte("key"), labelAccepting, []byte("a"), []byte("b"))
	_, ok := ring.verify(labelDialing, []byte("a"), []byte("b"), proof)
	require.False(t, ok)
	_, ok = ring.verify(labelAccepting, []byte("a"), []byte("b"), proof)
	require.True(t, ok)
}
