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

// maxUrgentCredits is the maximum number of urgent requests that a team may
// send in a row.
const maxUrgentCredits = 20

// teamLimits enforces the limits of the teams in the manifest.
type teamLimits struct {
	lock   sync.Mutex
	limits map[string]*teamLimit
}

// teamLimit holds the rate, the requests in progress and the urgent share of
// one team.
type teamLimit struct {
	team       structs.Team
	rate       *rate.Limiter
	inProgress int
	// urgentCredit is the credit for urgent requests, in hundredths of a
	// request.
	urgentCredit int
}

// update applies the teams of the manifest. It keeps the counts of requests
// in progress.
func (b *teamLimits) update(teams map[string]structs.Team) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for name, team := range teams {
		limit := b.limits[name]
		if limit == nil {
			limit = &teamLimit{urgentCredit: 100}
			b.limits[name] = limit
		}
		limit.update(team)
	}
	for name, limit := range b.limits {
		if _, ok := teams[name]; !ok && limit.inProgress == 0 {
			delete(b.limits, name)
		}
	}
}

func (l *teamLimit) update(team structs.Team) {
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

// admit counts a team's request as in progress, or rejects it.
func (b *teamLimits) admit(now time.Time, r *request) *result {
	b.lock.Lock()
	defer b.lock.Unlock()
	limit := b.limits[r.Team]
	if limit == nil {
		return nil
	}
	maxInProgress := limit.team.MaxInProgress
	if maxInProgress > 0 && limit.inProgress >= maxInProgress {
		res := notRunResult(http.StatusTooManyRequests, Reason(dispatch.RefusedQuota), "the team has "+strconv.Itoa(maxInProgress)+" requests in progress; wait for one to end").withRetryAfter(time.Second)
		return &res
	}
	if limit.rate != nil && !limit.rate.AllowN(now, 1) {
		res := notRunResult(http.StatusTooManyRequests, Reason(dispatch.RefusedRate), "the team's rate is reached; send more slowly").withRetryAfter(time.Second)
		return &res
	}
	limit.inProgress++
	limit.chargeUrgent(r)
	return nil
}

// chargeUrgent changes an urgent request to normal when the team's share of
// urgent requests is used up.
func (l *teamLimit) chargeUrgent(r *request) {
	l.urgentCredit = min(l.urgentCredit+l.team.UrgentPercent, maxUrgentCredits*100)
	if r.Class != dispatch.ClassUrgent {
		return
	}
	if l.team.UrgentPercent <= 0 || l.urgentCredit < 100 {
		r.Class = dispatch.ClassNormal
		return
	}
	l.urgentCredit -= 100
}

func (b *teamLimits) finishRequest(team string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if limit := b.limits[team]; limit != nil && limit.inProgress > 0 {
		limit.inProgress--
	}
}
