package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/node/events"
	"wigeonwinch/node/pause"
)

const (
	// leaveTimeout limits how long a stopping node waits for the log to record
	// that it has left its zone's membership.
	leaveTimeout = 5 * time.Second
	// claimHandoverDelay is how long the other members can still read this
	// node's claims after it has left the membership.
	claimHandoverDelay = time.Second
	// leavePollInterval is the interval at which a stopping node checks whether
	// it is still a member.
	leavePollInterval = 20 * time.Millisecond
)

// stop shuts the node down gracefully. The node first reports that it is not
// ready but keeps serving, so that the balancer stops sending to it. It then
// finishes the requests in progress, leaves its zone's membership, waits while
// the other members fetch its claims, and closes the ports. It leaves the
// membership only after the requests have finished, because a drain waits for
// every member.
func (n *Node) stop(stopLoops context.CancelFunc) error {
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
	n.awaitRemovalFromMembership()
	n.mesh.Leave()
	stopLoops()
	n.ports.close()
	n.recorder.Record(events.NodeStopped, events.Fields{Err: err})
	return errors.Wrap(err, "graceful stop")
}

// awaitRemovalFromMembership waits until the log has recorded that the node has
// left, and then for claimHandoverDelay. It gives up after leaveTimeout, because
// the other members remove a node that they cannot reach.
func (n *Node) awaitRemovalFromMembership() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	for n.isMember() {
		if !pause.For(ctx, leavePollInterval) {
			return
		}
	}
	pause.For(ctx, claimHandoverDelay)
}

func (n *Node) isMember() bool {
	view := n.View()
	if view == nil {
		return false
	}
	for _, member := range view.EntryEpochs[n.settings.Zone].Members {
		if member.Node == n.settings.Node {
			return true
		}
	}
	return false
}
