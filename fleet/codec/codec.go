// Package codec configures CBOR encoding and decoding for all records and
// messages: the encoding is deterministic and the decoding is bounded.
//
//	var encMode = codec.Encoder()
//	var decMode = codec.Decoder(codec.Limits{ArrayElements: 1 << 13, MapPairs: 1 << 8, NestedLevels: 8})
package codec

import "github.com/fxamacker/cbor/v2"

// Limits bounds the data that a decoder accepts.
type Limits struct {
	// ArrayElements is the maximum number of elements of one array.
	ArrayElements int
	// MapPairs is the maximum number of pairs of one map.
	MapPairs int
	// NestedLevels is the maximum nesting depth.
	NestedLevels int
}

// Encoder returns a mode that encodes equal values as equal bytes.
func Encoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decoder returns a mode that rejects data that exceeds the limits. It panics
// if the limits are invalid, so that the error shows at program start.
func Decoder(limits Limits) cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: limits.ArrayElements,
		MaxMapPairs:      limits.MapPairs,
		MaxNestedLevels:  limits.NestedLevels,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
