package manifest

import (
	"strconv"

	"wigeonwinch/fleet/structs"
)

// CheckChange checks a single change: that it is well formed and that the
// values of its item are valid. References between items are checked when the
// change is applied.
func CheckChange(field string, c structs.Change) []Problem {
	p := &problemList{}
	if Limit(c.Kind) == 0 {
		p.add(field+".kind", strconv.Itoa(int(c.Kind)), "is not a known kind of item")
		return p.list
	}
	if count := itemCount(c); c.Delete != (count == 0) || count > 1 {
		p.add(field, c.Name, "set either one item to put, or delete together with a kind and a name")
		return p.list
	}
	if c.Delete {
		p.checkName(field+".name", c.Name)
		return p.list
	}
	p.checkItem(field, c)
	return p.list
}

// checkItem checks the item that a change puts.
func (p *problemList) checkItem(field string, c structs.Change) {
	name := ""
	switch {
	case c.Kind == structs.ItemZone && c.Zone != nil:
		name = c.Zone.Name
		p.checkZone(field, *c.Zone)
	case c.Kind == structs.ItemTeam && c.Team != nil:
		name = c.Team.Name
		p.checkTeam(field, *c.Team)
	case c.Kind == structs.ItemPool && c.Pool != nil:
		name = c.Pool.Name
		p.checkPool(field, *c.Pool)
	case c.Kind == structs.ItemVM && c.VM != nil:
		name = c.VM.ID
		p.checkVM(field, *c.VM)
	case c.Kind == structs.ItemService && c.Service != nil:
		name = c.Service.Name
		p.checkService(field, *c.Service)
	case c.Kind == structs.ItemWindow && c.Window != nil:
		name = c.Window.Name
		p.checkWindow(field, *c.Window)
	case c.Kind == structs.ItemWave && c.Wave != nil:
		name = c.Wave.Name
		p.checkWave(field, *c.Wave)
	default:
		p.add(field+".kind", strconv.Itoa(int(c.Kind)), "does not match the item that is put")
		return
	}
	if name != c.Name {
		p.add(field+".name", c.Name, "differs from the item's own name %q: use the same name", name)
	}
}

func itemCount(c structs.Change) int {
	count := 0
	for _, set := range []bool{
		c.Zone != nil, c.Team != nil, c.Pool != nil, c.VM != nil,
		c.Service != nil, c.Window != nil, c.Wave != nil,
	} {
		if set {
			count++
		}
	}
	return count
}
