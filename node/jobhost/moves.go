package jobhost

import (
	"context"

	"wigeonwinch/fleet/upkeep"
)

// movePlan is what the fleet duty does about pools now.
type movePlan struct {
	// emptying are the VMs that get no work because they are to move.
	emptying map[string]bool
	ready    []vmMove
}

// vmMove is one VM to move to a pool.
type vmMove struct{ VM, Pool string }

type moveDuty struct{}

func newMoveDuty() *moveDuty { return &moveDuty{} }

func (m *moveDuty) active() bool { return false }

func (m *moveDuty) reserved(string) bool { return false }

func (m *moveDuty) plan(*fleetDuty, int64, upkeep.Plan) movePlan { return movePlan{} }

func (d *fleetDuty) move(context.Context, vmMove) {}
