package forward

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"wigeonwinch/dispatch"
	"wigeonwinch/fleet/structs"
)

// urgentCredits bounds how many urgent requests a team may send in a row.
const urgentCredits = 20

// teamBook holds the bounds of each team of the manifest.
type teamBook struct {
	lock   sync.Mutex
	limits map[string]*teamLimit
}

// teamLimit is one team's rate, requests in progress and urgent share.
type teamLimit struct {
	team       structs.Team
	rate       *rate.Limiter
	inProgress int
	// urgent is the credit for urgent requests, in hundredths.
	urgent int
}

// set follows the manifest; what is in progress stays counted.
func (b *teamBook) set(teams map[string]structs.Team) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for name, team := range teams {
		limit := b.limits[name]
		if limit == nil {
			limit = &teamLimit{urgent: 100}
			b.limits[name] = limit
		}
		limit.set(team)
	}
	for name, limit := range b.limits {
		if _, ok := teams[name]; !ok && limit.inProgress == 0 {
			delete(b.limits, name)
		}
	}
}

func (l *teamLimit) set(team structs.Team) {
	changed := l.team.RatePerSecond != team.RatePerSecond || l.team.Burst != team.Burst
	l.team = team
	if team.RatePerSecond <= 0 {
		l.rate = nil
		return
	}
	if l.rate != nil && !changed {
		return
	}
	burst := team.Burst
	if burst <= 0 {
		burst = max(int(2*team.RatePerSecond), 1)
	}
	l.rate = rate.NewLimiter(rate.Limit(team.RatePerSecond), burst)
}

// enter counts a request of a team in, or refuses it.
func (b *teamBook) enter(now time.Time, r *request) *ending {
	b.lock.Lock()
	defer b.lock.Unlock()
	limit := b.limits[r.Team]
	if limit == nil {
		return nil
	}
	bound := limit.team.MaxInProgress
	if bound > 0 && limit.inProgress >= bound {
		e := notRun(http.StatusTooManyRequests, Reason(dispatch.RefusedQuota), "the team has "+strconv.Itoa(bound)+" requests in progress; wait for one to end").after(time.Second)
		return &e
	}
	if limit.rate != nil && !limit.rate.AllowN(now, 1) {
		e := notRun(http.StatusTooManyRequests, Reason(dispatch.RefusedRate), "the team's rate is reached; send more slowly").after(time.Second)
		return &e
	}
	limit.inProgress++
	limit.charge(r)
	return nil
}

// charge keeps the urgent requests within the team's share.
func (l *teamLimit) charge(r *request) {
	l.urgent = min(l.urgent+l.team.UrgentPercent, urgentCredits*100)
	if r.Class != dispatch.ClassUrgent {
		return
	}
	if l.team.UrgentPercent <= 0 || l.urgent < 100 {
		r.Class = dispatch.ClassNormal
		return
	}
	l.urgent -= 100
}

func (b *teamBook) leave(team string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if limit := b.limits[team]; limit != nil && limit.inProgress > 0 {
		limit.inProgress--
	}
}
