package budget

// domain names a zone, or a rack in a zone.
type domain struct {
	zone string
	rack string
}

// cell counts the VMs of one failure domain.
type cell struct {
	total     int
	sound     int // not failed
	available int
}

// domains counts VMs by failure domain and knows the largest count of
// available VMs at any time.
type domains struct {
	index     map[domain]int // places in cells
	cells     []cell
	sound     heights
	available heights
}

func newDomains() *domains {
	return &domains{index: make(map[domain]int)}
}

// cell returns the counts of a domain, for change before the next call.
func (d *domains) cell(at domain) *cell {
	i, found := d.index[at]
	if !found {
		i = len(d.cells)
		d.index[at] = i
		d.cells = append(d.cells, cell{})
	}
	return &d.cells[i]
}

// of returns the counts of a domain.
func (d *domains) of(at domain) cell {
	if i, found := d.index[at]; found {
		return d.cells[i]
	}
	return cell{}
}

// heights is a histogram of the counts of domains: at n, the number of
// domains that hold exactly n VMs, for n above zero.
type heights struct {
	histogram []int
	max       int
}

// raise notes that a domain went from n VMs to one more.
func (h *heights) raise(n int) {
	for n+1 >= len(h.histogram) {
		h.histogram = append(h.histogram, 0)
	}
	if n > 0 {
		h.histogram[n]--
	}
	h.histogram[n+1]++
	h.max = max(h.max, n+1)
}

// lower notes that a domain went from n VMs to one fewer.
func (h *heights) lower(n int) {
	h.histogram[n]--
	if n > 1 {
		h.histogram[n-1]++
	}
	for h.max > 0 && h.histogram[h.max] == 0 {
		h.max--
	}
}

// excess is the number of VMs that lie above the given height.
func (h *heights) excess(height int) int {
	sum := 0
	for n := height + 1; n < len(h.histogram); n++ {
		sum += (n - height) * h.histogram[n]
	}
	return sum
}

// addSound counts a VM that has not failed.
func (d *domains) addSound(c *cell) {
	d.sound.raise(c.sound)
	c.sound++
}

// addAvailable counts a VM as in service.
func (d *domains) addAvailable(c *cell) {
	d.available.raise(c.available)
	c.available++
}

// removeAvailable counts a VM as out of service.
func (d *domains) removeAvailable(c *cell) {
	d.available.lower(c.available)
	c.available--
}

// below says that a domain has fewer available VMs than least.
func (d *domains) below(least int) bool {
	if least == 0 {
		return false
	}
	for _, c := range d.cells {
		if c.available < least {
			return true
		}
	}
	return false
}
