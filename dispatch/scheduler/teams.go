package scheduler

import "wigeonwinch/dispatch/quota"

// team is one team's queues and count in progress.
type team struct {
	name       string
	max        int
	inProgress int
	flows      flowsOf
}

func (t *team) atBound() bool { return t.max > 0 && t.inProgress >= t.max }

// teamTable holds the configured teams and one flow for all others.
type teamTable struct {
	lanes  *[laneCount]lane
	byName map[string]*team
	others *team
}

func (tt *teamTable) init(lanes *[laneCount]lane) {
	tt.lanes = lanes
	tt.byName = make(map[string]*team)
	tt.others = tt.newTeam(Team{})
}

func (tt *teamTable) newTeam(t Team) *team {
	created := &team{name: t.Name, max: t.MaxInProgress}
	for i := range tt.lanes {
		created.flows[i] = tt.lanes[i].queue.NewFlow(t.Weight)
	}
	return created
}

// of returns the team of that name, or the one that unnamed teams share.
func (tt *teamTable) of(name string) *team {
	if t := tt.byName[name]; t != nil {
		return t
	}
	return tt.others
}

// set replaces the teams. Jobs of a removed team keep their flow until they
// end.
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
		tt.lanes[i].queue.Reweigh(f, t.Weight)
		tt.lanes[i].queue.Unpark(f)
	}
}

// released counts a finished request and lets the team's queues go on.
func (tt *teamTable) released(t *team) {
	t.inProgress--
	for i, f := range t.flows {
		tt.lanes[i].queue.Unpark(f)
	}
}

// lane is one class of queued work.
type lane struct {
	queue quota.FairQueue[*job]
	// running counts the requests in progress that count towards the lane.
	running int
}
