package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/node/events"
	"wigeonwinch/node/pause"
)

const (
	// leaveTime bounds the wait for the log to record that the node has left.
	leaveTime = 5 * time.Second
	// handoverTime is how long the claims stay readable for the other members
	// after the node has left.
	handoverTime = time.Second
	// stopCheck is the span between two looks at what a stop waits for.
	stopCheck = 20 * time.Millisecond
)

// stop ends the node in order: it stops being ready and goes on serving until
// the balancer has noticed, finishes what is in progress, leaves its zone's
// membership, lets the other members fetch its claims and closes the ports.
// The membership is left last, because a drain waits for every member.
func (n *Node) stop(stopInner context.CancelFunc) error {
	limits := n.settings.Limits
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(limits.StopSeconds)*time.Second)
	defer cancel()
	n.recorder.Record(events.NodeStopping, events.Fields{})
	n.stopping.Store(true)
	pause.For(ctx, time.Duration(limits.NoticeSeconds)*time.Second)
	err := n.ports.shutdownCallers(ctx)
	if stopErr := n.forward.Stop(ctx); err == nil {
		err = stopErr
	}
	n.control.Leave()
	n.awaitLeft()
	n.mesh.Leave()
	stopInner()
	n.ports.close()
	n.recorder.Record(events.NodeStopped, events.Fields{Err: err})
	return errors.Wrap(err, "graceful stop")
}

// awaitLeft waits until the log has recorded that the node has left. It gives
// up after leaveTime: the other members remove a node that they can't hear.
func (n *Node) awaitLeft() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	for n.isMember() {
		if !pause.For(ctx, stopCheck) {
			return
		}
	}
	pause.For(ctx, handoverTime)
}

func (n *Node) isMember() bool {
	view := n.View()
	if view == nil {
		return false
	}
	for _, member := range view.Entry[n.settings.Zone].Members {
		if member.Node == n.settings.Node {
			return true
		}
	}
	return false
}
