package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"

	"wigeonwinch/dispatch"
	"wigeonwinch/fleet/structs"
)

// headerCallerAuthorization carries the caller's own Authorization over a
// relay, whose Authorization is the entry nodes' own.
const headerCallerAuthorization = "Wigeonwinch-Caller-Authorization"

// executeElsewhere passes a request on to entry nodes of other zones, one
// after the other, as long as it has surely not run. Last is the end here.
func (s *Server) executeElsewhere(wait, run context.Context, rt *routes, r *request, last ending) ending {
	peers := s.relayTargets(rt, r.Pool)
	for i, peer := range peers {
		if i >= s.cfg.Limits.RelayAttempts || wait.Err() != nil {
			return last
		}
		s.counts.relayed.Add(1)
		x := s.exchange(run, r, target{peer: peer.Node, address: peer.PeerAddress})
		last = truest(last, x.end)
		if x.kind == exchangeNotRun {
			continue
		}
		if x.kind != exchangeLost || !r.Repeatable || x.canceled {
			return last
		}
	}
	return last
}

// relayTargets returns one entry node of each other zone that has workers of
// the pool: the zones of the own region first.
func (s *Server) relayTargets(rt *routes, pool string) []structs.EntryMember {
	alive := s.cfg.Peers.Alive()
	zones := slices.Clone(rt.reach[pool])
	rand.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	slices.SortStableFunc(zones, func(a, b string) int {
		return s.distance(rt, a) - s.distance(rt, b)
	})
	var targets []structs.EntryMember
	for _, zone := range zones {
		if zone == s.cfg.Zone {
			continue
		}
		if m, ok := pickMember(rt.view.Entry[zone].Members, alive); ok {
			targets = append(targets, m)
		}
	}
	return targets
}

// distance is 0 for a zone of the own region and 1 for any other.
func (s *Server) distance(rt *routes, zone string) int {
	if rt.view.Zones[zone].Region == s.cfg.Region {
		return 0
	}
	return 1
}

// pickMember chooses one of the members that are alive.
func pickMember(members, alive []structs.EntryMember) (structs.EntryMember, bool) {
	var heard []structs.EntryMember
	for _, m := range members {
		if slices.ContainsFunc(alive, func(a structs.EntryMember) bool { return a.Node == m.Node }) {
			heard = append(heard, m)
		}
	}
	if len(heard) == 0 {
		return structs.EntryMember{}, false
	}
	return heard[rand.IntN(len(heard))], true
}

// addressRelay turns an outgoing request into a relay.
func (s *Server) addressRelay(header http.Header, u *url.URL, t target) {
	if auth := header.Get("Authorization"); auth != "" {
		header.Set(headerCallerAuthorization, auth)
	}
	header.Set("Authorization", s.relayToken)
	header.Set(HeaderRelayed, "1")
	if t.spare {
		header.Set(HeaderRelayed, relayedSpare)
	}
	u.Path = RelayPath + u.Path
	if u.RawPath != "" {
		u.RawPath = RelayPath + u.RawPath
	}
}

// relayEnd takes the end that another entry node gave.
func relayEnd(a *answer) exchange {
	outcome := dispatch.Outcome(a.header.Get(HeaderOutcome))
	reason := Reason(a.header.Get(HeaderReason))
	switch outcome {
	case dispatch.OutcomeAnswered:
		return exchange{kind: exchangeAnswer, end: answered(a)}
	case dispatch.OutcomeNotRun:
		return exchange{kind: exchangeNotRun, end: notRun(a.status, reason, "the entry node of another zone did not run it; send again later")}
	}
	return exchange{kind: exchangeLost, end: unknown(a.status, reason, "the entry node of another zone cannot tell whether it ran")}
}
