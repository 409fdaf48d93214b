// Package codec sets up CBOR the way every record and message uses it:
// deterministic when written, bounded when read.
//
//	var encMode = codec.Encoder()
//	var decMode = codec.Decoder(codec.Limits{ArrayElements: 1 << 13, MapPairs: 1 << 8, NestedLevels: 8})
package codec

import "github.com/fxamacker/cbor/v2"

// Limits bounds what a decoder accepts.
type Limits struct {
	// ArrayElements bounds the elements of one array.
	ArrayElements int
	// MapPairs bounds the pairs of one map.
	MapPairs int
	// NestedLevels bounds the nesting.
	NestedLevels int
}

// Encoder returns a mode that writes equal values as equal bytes.
func Encoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decoder returns a mode that refuses data beyond the limits. It panics when
// the limits are not valid, which a program's start shows.
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
