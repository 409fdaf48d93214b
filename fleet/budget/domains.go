package budget

// domain names a zone, or a rack in a zone.
type domain struct {
	zone string
	rack string
}

// domains counts VMs by failure domain and knows the largest count at any
// time: histogram[n] is the number of domains that hold exactly n.
type domains struct {
	counts    map[domain]int
	histogram []int
	max       int
}

func newDomains() *domains {
	return &domains{counts: make(map[domain]int), histogram: make([]int, 8)}
}

func (d *domains) of(at domain) int { return d.counts[at] }

func (d *domains) add(at domain) {
	n := d.counts[at]
	d.counts[at] = n + 1
	d.histogram[n]--
	if n+1 == len(d.histogram) {
		d.histogram = append(d.histogram, 0)
	}
	d.histogram[n+1]++
	d.max = max(d.max, n+1)
}

func (d *domains) remove(at domain) {
	n := d.counts[at]
	d.counts[at] = n - 1
	d.histogram[n]--
	d.histogram[n-1]++
	for d.max > 0 && d.histogram[d.max] == 0 {
		d.max--
	}
}

// below says that a domain known to all has fewer than least.
func (d *domains) below(least int, all *domains) bool {
	if least == 0 {
		return false
	}
	for at := range all.counts {
		if d.counts[at] < least {
			return true
		}
	}
	return false
}
