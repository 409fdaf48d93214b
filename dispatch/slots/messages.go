package slots

// Request asks a peer to lend slots of a worker. Safety does not depend on it:
// the lender answers a duplicated or delayed request with the grant that it has
// already made.
type Request struct {
	Epoch  uint64 `cbor:"1,keyasint"`
	Worker string `cbor:"2,keyasint"`
	Slots  int    `cbor:"3,keyasint"`
	// KnownGranted is the cumulative number of granted slots that the borrower
	// knows of.
	KnownGranted uint64 `cbor:"4,keyasint"`
	// Requested is the number of additional slots that the borrower could use
	// now.
	Requested int `cbor:"5,keyasint"`
}

// Grant reports the cumulative number of slots that the lender has granted the
// borrower in this epoch. The count also orders the grants: the highest one is
// current.
type Grant struct {
	Epoch   uint64 `cbor:"1,keyasint"`
	Worker  string `cbor:"2,keyasint"`
	Slots   int    `cbor:"3,keyasint"`
	Granted uint64 `cbor:"4,keyasint"`
	// Returned acknowledges the cumulative number of returned slots that the
	// lender knows of.
	Returned uint64 `cbor:"5,keyasint"`
}

// Return reports the cumulative number of slots that the borrower has returned
// to the lender in this epoch. The highest count is current.
type Return struct {
	Epoch    uint64 `cbor:"1,keyasint"`
	Worker   string `cbor:"2,keyasint"`
	Slots    int    `cbor:"3,keyasint"`
	Returned uint64 `cbor:"4,keyasint"`
}

// Recall asks a borrower to return its slots as soon as they are idle.
type Recall struct {
	Epoch  uint64 `cbor:"1,keyasint"`
	Worker string `cbor:"2,keyasint"`
	Slots  int    `cbor:"3,keyasint"`
}

// Message is a message between two nodes. Exactly one field is set.
type Message struct {
	Request *Request `cbor:"1,keyasint,omitempty"`
	Grant   *Grant   `cbor:"2,keyasint,omitempty"`
	Return  *Return  `cbor:"3,keyasint,omitempty"`
	Recall  *Recall  `cbor:"4,keyasint,omitempty"`
}

// OutgoingMessage is an outgoing message and the peer that it is for.
type OutgoingMessage struct {
	To      string
	Message Message
}
