package manifest

import "wigeonwinch/fleet/structs"

// Limits on the number of items of each kind in the configuration.
const (
	MaxZones    = 64
	MaxTeams    = 4096
	MaxPools    = 1024
	MaxVMs      = 20000
	MaxServices = 4096
	MaxWindows  = 256
	MaxWaves    = 64
)

// Limits on single values.
const (
	// MaxNameBytes bounds the name of an item.
	MaxNameBytes = 63
	// MaxTextBytes bounds an image, a rack or a route.
	MaxTextBytes = 255
	// MaxRoutes bounds the routes of one service.
	MaxRoutes = 32
	// MaxDeadlineMS bounds a service's deadline: one day, in milliseconds.
	MaxDeadlineMS = 24 * 60 * 60 * 1000
	// MaxTeamWeight bounds a team's weight.
	MaxTeamWeight = 1000
	// MaxSlots bounds a worker's slots and connections.
	MaxSlots = 1 << 16
	// MaxQuantity bounds cores, accelerators, mebibytes, counts and rates.
	MaxQuantity   = 1 << 30
	minutesPerDay = 24 * 60
	maxPercent    = 100
)

// Limit returns the maximum number of items of a kind. It returns 0 for an
// unknown kind.
func Limit(kind structs.ItemKind) int {
	switch kind {
	case structs.ItemZone:
		return MaxZones
	case structs.ItemTeam:
		return MaxTeams
	case structs.ItemPool:
		return MaxPools
	case structs.ItemVM:
		return MaxVMs
	case structs.ItemService:
		return MaxServices
	case structs.ItemWindow:
		return MaxWindows
	case structs.ItemWave:
		return MaxWaves
	}
	return 0
}
