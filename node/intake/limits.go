package intake

import (
	"time"

	"wigeonwinch/jobs/spec"
)

// Limits bounds what the clients of a node can make it hold.
type Limits struct {
	// BodyBytes is the longest body that is accepted.
	BodyBytes int
	// HeldBytes bounds all bodies that are being read or worked on, and what headers take
	// up beyond freeHeaderBytes. Half of it is for the first SmallBytes of each body.
	HeldBytes int64
	// AnswerBytes bounds the answers of backend servers that are held until their clients
	// have taken them.
	AnswerBytes int64
	// SmallBytes is how much of each body always has room: Callers times SmallBytes is at
	// most half of HeldBytes.
	SmallBytes int
	// HeaderBytes is the longest header that is accepted.
	HeaderBytes int
	// Callers, Peers, Operators and HealthChecks are the connections of each port.
	Callers, Peers, Operators, HealthChecks int
	// DrainBytes is the longest rest of a body that is read after an answer, to keep the
	// connection.
	DrainBytes int64
	// ReceiveBytes is the size of the kernel's receive buffer of a connection, and
	// PeerReceiveBytes that of a connection from another node. The kernel stores up to
	// twice as many unread bytes.
	ReceiveBytes, PeerReceiveBytes int

	// HeaderTimeout, BodyTimeout and IdleTimeout bound the time for a header, for a body
	// as a whole and between two requests.
	HeaderTimeout, BodyTimeout, IdleTimeout time.Duration
	// ProgressTimeout, if set, bounds the time in which nothing of a body arrives.
	ProgressTimeout time.Duration
	// WriteTimeout bounds the time in which a client takes one part of its answer.
	WriteTimeout time.Duration
}

// Values that do not depend on the VM.
const (
	bodyBytes    = spec.MaxBodyBytes
	headerBytes  = 16 << 10
	drainBytes   = 4 << 10
	receiveBytes = 16 << 10
	peerBytes    = 32 << 10
	// largeReceiveBytes is the buffer on VMs with largeMemory or more.
	largeReceiveBytes = 64 << 10
	largeMemory       = 1 << 30
	headerTimeout     = 5 * time.Second
	bodyTimeout       = 30 * time.Second
	idleTimeout       = time.Minute
	writeTimeout      = 10 * time.Second
)

// The share of a VM that clients may use.
const (
	// unknownMemory and unknownDescriptors stand for what the settings do not name.
	unknownMemory      = 512 << 20
	unknownDescriptors = 4096
	// fileDescriptors are kept for files; sockets share the others.
	fileDescriptors = 200
	// connectionBytes is what one connection takes up in the process, beside its unread
	// bytes: goroutines and buffers.
	connectionBytes = 24 << 10
	// Fractions of the memory for bodies, for answers and for the connections of callers, and
	// of the sockets for each port. The rest of the sockets is for connections that the node
	// opens itself.
	bodyShare            = 1. / 8
	answerShare          = 1. / 8
	connectionShare      = 3. / 8
	callerSocketShare    = 1. / 2
	peerSocketShare      = 1. / 8
	otherPortSocketShare = 1. / 32
	// Bounds of the connections of each port, and of Limits.SmallBytes.
	minConnections   = 16
	maxOthers        = 64
	minSmallBodyPart = 4 << 10
	maxSmallBodyPart = 64 << 10
)

// LimitsFor returns the limits for a VM with so many bytes of memory and so many
// descriptors for each process; 0 stands for unknown.
func LimitsFor(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = unknownMemory
	}
	if descriptors <= 0 {
		descriptors = unknownDescriptors
	}
	sockets := float64(max(descriptors-fileDescriptors, 0))
	receive := receiveBytes
	if memory >= largeMemory {
		receive = largeReceiveBytes
	}
	callers := min(sockets*callerSocketShare, float64(memory)*connectionShare/float64(connectionBytes+2*receive))
	others := min(max(int(sockets*otherPortSocketShare), minConnections), maxOthers)
	l := Limits{
		BodyBytes: bodyBytes, HeldBytes: max(int64(float64(memory)*bodyShare), 2*bodyBytes), HeaderBytes: headerBytes,
		AnswerBytes: int64(float64(memory) * answerShare),
		Callers:     max(int(callers), minConnections), Peers: max(int(sockets*peerSocketShare), minConnections),
		Operators: others, HealthChecks: others, DrainBytes: drainBytes, ReceiveBytes: receive, PeerReceiveBytes: peerBytes,
		HeaderTimeout: headerTimeout, BodyTimeout: bodyTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout,
	}
	l.SmallBytes = min(max(int(l.HeldBytes/2)/l.Callers, minSmallBodyPart), maxSmallBodyPart)
	return l
}
