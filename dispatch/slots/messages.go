package slots

// Request asks a peer to lend slots of a worker. It has no effect on safety:
// one that is repeated or late is answered with the grant already made.
type Request struct {
	Epoch  uint64 `cbor:"1,keyasint"`
	Worker string `cbor:"2,keyasint"`
	Slots  int    `cbor:"3,keyasint"`
	// Known is the total granted that the borrower knows of.
	Known uint64 `cbor:"4,keyasint"`
	// Want is how many more slots it could use now.
	Want int `cbor:"5,keyasint"`
}

// Grant tells a borrower how many slots the lender has granted it in this
// epoch, all grants added up. The sum is the sequence: the highest one counts.
type Grant struct {
	Epoch   uint64 `cbor:"1,keyasint"`
	Worker  string `cbor:"2,keyasint"`
	Slots   int    `cbor:"3,keyasint"`
	Granted uint64 `cbor:"4,keyasint"`
	// Returned acknowledges the returns that the lender knows of.
	Returned uint64 `cbor:"5,keyasint"`
}

// Return tells a lender how many slots the borrower has given back in this
// epoch, all returns added up. The highest one counts.
type Return struct {
	Epoch    uint64 `cbor:"1,keyasint"`
	Worker   string `cbor:"2,keyasint"`
	Slots    int    `cbor:"3,keyasint"`
	Returned uint64 `cbor:"4,keyasint"`
}

// Recall asks a borrower to give idle slots back soon.
type Recall struct {
	Epoch  uint64 `cbor:"1,keyasint"`
	Worker string `cbor:"2,keyasint"`
	Slots  int    `cbor:"3,keyasint"`
}

// Message is what a node sends to a peer: exactly one field is set.
type Message struct {
	Request *Request `cbor:"1,keyasint,omitempty"`
	Grant   *Grant   `cbor:"2,keyasint,omitempty"`
	Return  *Return  `cbor:"3,keyasint,omitempty"`
	Recall  *Recall  `cbor:"4,keyasint,omitempty"`
}

// Send is a message with the peer it goes to.
type Send struct {
	To      string
	Message Message
}
