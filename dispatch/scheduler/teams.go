package scheduler

import "wigeonwinch/dispatch/quota"

// team holds one team's flows and the number of its requests in progress; max
// limits that number unless it is zero.
type team struct {
	name       string
	max        int
	inProgress int
	flows      teamFlows
}

func (t *team) atLimit() bool { return t.max > 0 && t.inProgress >= t.max }

// teamTable holds the configured teams and the shared entry of all unlisted
// ones.
type teamTable struct {
	lanes    *[laneCount]lane
	byName   map[string]*team
	unlisted *team
}

func (tt *teamTable) init(lanes *[laneCount]lane) {
	tt.lanes = lanes
	tt.byName = make(map[string]*team)
	tt.unlisted = tt.newTeam(Team{})
}

func (tt *teamTable) newTeam(t Team) *team {
	created := &team{name: t.Name, max: t.MaxInProgress}
	for i := range tt.lanes {
		created.flows[i] = tt.lanes[i].queue.NewFlow(t.Weight)
	}
	return created
}

// lookup returns the team of the given name, or the shared entry if it is not
// configured.
func (tt *teamTable) lookup(name string) *team {
	if t := tt.byName[name]; t != nil {
		return t
	}
	return tt.unlisted
}

// set replaces the teams. Jobs of a removed team stay in that team's flows
// until they end.
func (tt *teamTable) set(teams []Team) {
	next := make(map[string]*team, len(teams))
	for _, t := range teams {
		old := tt.byName[t.Name]
		if old == nil {
			next[t.Name] = tt.newTeam(t)
			continue
		}
		tt.update(old, t)
		next[t.Name] = old
	}
	for name, old := range tt.byName {
		if next[name] == nil {
			tt.update(old, Team{Name: name})
		}
	}
	tt.byName = next
}

func (tt *teamTable) update(old *team, t Team) {
	old.max = t.MaxInProgress
	for i, f := range old.flows {
		tt.lanes[i].queue.SetWeight(f, t.Weight)
		tt.lanes[i].queue.Unpark(f)
	}
}

// release records the end of a request and makes the team's flows eligible
// again, since the team may now be below its limit.
func (tt *teamTable) release(t *team) {
	t.inProgress--
	for i, f := range t.flows {
		tt.lanes[i].queue.Unpark(f)
	}
}

// lane is the queue of one class of requests.
type lane struct {
	queue quota.FairQueue[*job]
	// running counts the requests in progress that are charged to the lane.
	running int
}
