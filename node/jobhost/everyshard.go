package jobhost

import (
	"context"
	"slices"

	"wigeonwinch/node/deps"
)

// askOtherShards looks for a job that the given shard does not have: in the shards of
// the configuration, and before the job is reported as missing in all homes of its queue
// as the store names them after the request came. The configuration of this node may be
// behind, and may not name the service of a shard any more that still has jobs.
func (h *Host) askOtherShards(ctx context.Context, part deps.Partition, r Request) Result {
	readsBefore := h.homes.readsSent()
	asked := []deps.Partition{part}
	if res := h.askShards(ctx, h.requiredPartitions(), &asked, r); res.Outcome != Missing {
		return res
	}
	all, err := h.homes.allHomes(ctx, r.Queue, readsBefore)
	if err != nil {
		return Result{Outcome: Unknown, Reason: "queue_home_unknown"}
	}
	return h.askShards(ctx, all, &asked, r)
}

// askShards asks the shards with jobs that were not asked yet, until one answers
// something else than that it does not have the job.
func (h *Host) askShards(ctx context.Context, shards []deps.Partition, asked *[]deps.Partition, r Request) Result {
	for _, p := range shards {
		if p.Topic != deps.TopicJobs || slices.Contains(*asked, p) {
			continue
		}
		*asked = append(*asked, p)
		if res := h.doAtOwner(ctx, p, r); res.Outcome != Missing {
			return res
		}
	}
	return Result{Outcome: Missing}
}
