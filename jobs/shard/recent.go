package shard

// maxRecent bounds the IDs that a recentTimes remembers.
const maxRecent = 100_000

// recentTimes remembers for a while when something happened to the jobs with some IDs,
// which need not exist.
type recentTimes struct {
	keepMS int64
	at     map[string]int64
	// order lists the times as they were set; those of an ID that was set again later are
	// outdated.
	order []recentTime
}

type recentTime struct {
	id string
	at int64
}

func newRecentTimes(keepMS int64) *recentTimes {
	return &recentTimes{keepMS: keepMS, at: map[string]int64{}}
}

// set remembers an ID as of now.
func (r *recentTimes) set(id string, now int64) {
	r.at[id] = now
	r.order = append(r.order, recentTime{id, now})
}

// get returns the time of an ID that is remembered.
func (r *recentTimes) get(id string) (at int64, ok bool) {
	at, ok = r.at[id]
	return at, ok
}

func (r *recentTimes) full() bool { return len(r.order) >= maxRecent }

// forget drops what has been remembered for long enough.
func (r *recentTimes) forget(now int64) {
	for len(r.order) > 0 && now-r.order[0].at > r.keepMS {
		r.forgetFirst()
	}
}

func (r *recentTimes) forgetFirst() {
	first := r.order[0]
	r.order = r.order[1:]
	if r.at[first.id] == first.at {
		delete(r.at, first.id)
	}
}
