package manifest

import (
	"regexp"
	"strconv"

	"wigeonwinch/fleet/structs"
)

var itemFieldPattern = regexp.MustCompile(`^([a-z]+)\[([0-9]+)\]`)

// setItemNames sets Item of each problem to the name of the item that its field
// belongs to, because a position is hard to find in a long list.
func setItemNames(m *structs.Manifest, list []Problem) []Problem {
	for i := range list {
		match := itemFieldPattern.FindStringSubmatch(list[i].Field)
		if match == nil {
			continue
		}
		if position, err := strconv.Atoi(match[2]); err == nil {
			list[i].Item = truncate(itemName(m, match[1], position))
		}
	}
	return list
}

// itemName returns the name of an item by its list and position, or the empty
// string if there is no such item.
func itemName(m *structs.Manifest, list string, i int) string {
	switch {
	case list == "zones" && i < len(m.Zones):
		return m.Zones[i].Name
	case list == "teams" && i < len(m.Teams):
		return m.Teams[i].Name
	case list == "pools" && i < len(m.Pools):
		return m.Pools[i].Name
	case list == "vms" && i < len(m.VMs):
		return m.VMs[i].ID
	case list == "services" && i < len(m.Services):
		return m.Services[i].Name
	case list == "windows" && i < len(m.Windows):
		return m.Windows[i].Name
	case list == "waves" && i < len(m.Waves):
		return m.Waves[i].Name
	}
	return ""
}
