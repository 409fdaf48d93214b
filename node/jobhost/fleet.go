package jobhost

import (
	"context"

	"wigeonwinch/node/deps"
)

// fleetPartition is owned by the one node that moves and maintains VMs.
var fleetPartition = deps.Partition{Topic: deps.TopicFleet}

// fleetDuty is the state of the node that moves and maintains VMs.
type fleetDuty struct {
	host  *Host
	shard *ownedShard
}

func newFleetDuty(h *Host, s *ownedShard) *fleetDuty { return &fleetDuty{host: h, shard: s} }

func (h *Host) runFleet(context.Context) {}

func (h *Host) expireCordons(int64) {}

func (h *Host) serveCordon(context.Context, string, []byte) ([]byte, error) { return nil, nil }
