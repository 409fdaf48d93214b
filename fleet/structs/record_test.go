package structs

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRecordRoundTrip(t *testing.T) {
	want := Record{Key: "n1/1/1", Writer: "n1", Move: &Move{VM: "w-1", Sequence: 3, To: "review"}}
	data, err := EncodeRecord(want)
	require.NoError(t, err)
	got, err := DecodeRecord(data)
	require.NoError(t, err)
	require.Equal(t, want, got)
}

func TestRecordTooLargeIsRefused(t *testing.T) {
	_, err := EncodeRecord(Record{Snapshot: &Snapshot{Data: make([]byte, MaxRecordBytes)}})
	require.ErrorContains(t, err, "split the change")
}

func FuzzDecodeRecord(f *testing.F) {
	data, err := EncodeRecord(Record{Key: "k", Lease: &Lease{Scope: "fleet", Epoch: 1}})
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		rec, err := DecodeRecord(data)
		if err != nil {
			return
		}
		_, err = EncodeRecord(rec)
		require.NoError(t, err)
	})
}
