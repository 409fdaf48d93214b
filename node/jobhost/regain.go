package jobhost

import (
	"context"
	"time"

	"wigeonwinch/node/deps"
	"wigeonwinch/node/pause"
)

// reasonOwnershipExpired is the reason of a submission that this owner may not decide,
// because its right has expired and another node may have taken the shard over.
const reasonOwnershipExpired = "ownership_expired"

// regainPollDelay is the pause between two attempts to decide a submission.
const regainPollDelay = 50 * time.Millisecond

// askShardOnceOwned posts a request to a shard that this node owns. A submission waits up to
// ownerWait for the owner to regain its right or to learn of its successor, as it does for a
// shard without an owner: callers whose outcome is unknown come back at once, and would
// use up their tries within the second.
func (h *Host) askShardOnceOwned(ctx context.Context, part deps.Partition, r Request) Result {
	deadline := time.Now().Add(ownerWait)
	for {
		res := h.askShard(ctx, part, r)
		if r.Op != OpSubmit || res.Reason != reasonOwnershipExpired || ctx.Err() != nil || time.Now().After(deadline) {
			return res
		}
		pause.For(ctx, regainPollDelay)
	}
}
