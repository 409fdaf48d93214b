package jobhost

import (
	"context"
	"slices"
	"sync"

	"wigeonwinch/node/deps"
)

// askOtherShards looks for a job that the given shard has denied: in the shards of the
// configuration, and in all homes of its queue as the store names them after the request
// came. The configuration of this node may be behind, and may not name the service of a
// shard any more that still has jobs. Without the homes nobody knows, unless a shard of
// the configuration has the job.
func (h *Host) askOtherShards(ctx context.Context, part deps.Partition, r Request, denial Result) Result {
	homes, err := h.homes.allHomes(ctx, r.Queue, h.homes.readsSent())
	asked := []deps.Partition{part}
	for _, p := range append(homes, h.requiredPartitions()...) {
		if p.Topic == deps.TopicJobs && !slices.Contains(asked, p) {
			asked = append(asked, p)
		}
	}
	if err != nil {
		denial = Result{Outcome: Unknown, Reason: "queue_home_unknown"}
	}
	for _, res := range h.askShards(ctx, asked[1:], r) {
		if res.Outcome == Done || res.Outcome != Missing && denial.Outcome == Missing {
			denial = res
		}
	}
	return denial
}

// askShards asks several shards at the same time.
func (h *Host) askShards(ctx context.Context, shards []deps.Partition, r Request) []Result {
	results := make([]Result, len(shards))
	var calls sync.WaitGroup
	for i, p := range shards {
		calls.Go(func() { results[i] = h.doAtOwner(ctx, p, r) })
	}
	calls.Wait()
	return results
}
