package budget

// domain identifies a zone, or a rack in a zone.
type domain struct {
	zone string
	rack string
}

// domainCounts counts the VMs of one failure domain.
type domainCounts struct {
	total     int
	healthy   int // not failed, drained VMs included
	available int
}

// domains counts VMs by failure domain and maintains the largest counts of
// healthy and available VMs.
type domains struct {
	index     map[domain]int // indexes into counts
	counts    []domainCounts
	healthy   countHistogram
	available countHistogram
}

func newDomains() *domains {
	return &domains{index: make(map[domain]int)}
}

// getOrCreate returns the counts of a domain for modification. The pointer is
// valid until the next call.
func (d *domains) getOrCreate(key domain) *domainCounts {
	i, found := d.index[key]
	if !found {
		i = len(d.counts)
		d.index[key] = i
		d.counts = append(d.counts, domainCounts{})
	}
	return &d.counts[i]
}

// get returns a copy of the counts of a domain.
func (d *domains) get(key domain) domainCounts {
	if i, found := d.index[key]; found {
		return d.counts[i]
	}
	return domainCounts{}
}

// countHistogram is a histogram of the VM counts of domains: at index n, the
// number of domains with exactly n VMs, for n above zero.
type countHistogram struct {
	histogram []int
	max       int
}

// increment records that the count of a domain rose from n to n+1.
func (h *countHistogram) increment(n int) {
	for n+1 >= len(h.histogram) {
		h.histogram = append(h.histogram, 0)
	}
	if n > 0 {
		h.histogram[n]--
	}
	h.histogram[n+1]++
	h.max = max(h.max, n+1)
}

// decrement records that the count of a domain fell from n to n-1.
func (h *countHistogram) decrement(n int) {
	h.histogram[n]--
	if n > 1 {
		h.histogram[n-1]++
	}
	for h.max > 0 && h.histogram[h.max] == 0 {
		h.max--
	}
}

// excess returns the number of VMs by which the domains exceed the threshold,
// summed over all domains.
func (h *countHistogram) excess(threshold int) int {
	sum := 0
	for n := threshold + 1; n < len(h.histogram); n++ {
		sum += (n - threshold) * h.histogram[n]
	}
	return sum
}

// addHealthy counts a VM that has not failed.
func (d *domains) addHealthy(c *domainCounts) {
	d.healthy.increment(c.healthy)
	c.healthy++
}

// addAvailable counts a VM as in service.
func (d *domains) addAvailable(c *domainCounts) {
	d.available.increment(c.available)
	c.available++
}

// removeAvailable counts a VM as out of service.
func (d *domains) removeAvailable(c *domainCounts) {
	d.available.decrement(c.available)
	c.available--
}

// anyBelow reports whether a domain has fewer available VMs than the minimum.
func (d *domains) anyBelow(minimum int) bool {
	if minimum == 0 {
		return false
	}
	for _, c := range d.counts {
		if c.available < minimum {
			return true
		}
	}
	return false
}
