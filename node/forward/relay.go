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

// headerCallerAuthorization carries the caller's Authorization header over a
// relay, where Authorization holds the entry nodes' own token.
const headerCallerAuthorization = "Wigeonwinch-Caller-Authorization"

// executeInOtherZones relays a request to entry nodes of other zones, one at
// a time. It continues while the request has certainly not run, or was lost and
// is repeatable. last is the result in this zone.
func (s *Server) executeInOtherZones(waitCtx, runCtx context.Context, rt *routes, r *request, last result) result {
	peers := s.relayTargets(rt, r.Pool)
	for i, peer := range peers {
		if i >= s.cfg.Limits.RelayAttempts || waitCtx.Err() != nil {
			return last
		}
		s.counts.relayed.Add(1)
		x := s.exchange(runCtx, r, target{peer: peer.Node, address: peer.PeerAddress})
		last = mergeResults(last, r.countLost(x))
		if x.kind == exchangeNotRun {
			continue
		}
		if x.kind != exchangeLost || !r.Repeatable || x.canceled || r.workersLost >= maxWorkersLost {
			return last
		}
	}
	return last
}

// relayTargets returns one entry node of each other zone that has active
// workers of the pool. Zones of this node's region come first.
func (s *Server) relayTargets(rt *routes, pool string) []structs.EntryMember {
	alive := s.cfg.Peers.Alive()
	zones := slices.Clone(rt.activeZones[pool])
	rand.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	slices.SortStableFunc(zones, func(a, b string) int {
		return s.regionDistance(rt, a) - s.regionDistance(rt, b)
	})
	var targets []structs.EntryMember
	for _, zone := range zones {
		if zone == s.cfg.Zone {
			continue
		}
		if m, ok := pickAliveMember(rt.view.EntryEpochs[zone].Members, alive); ok {
			targets = append(targets, m)
		}
	}
	return targets
}

// regionDistance returns 0 for a zone of this node's region and 1 for any
// other.
func (s *Server) regionDistance(rt *routes, zone string) int {
	if rt.view.Zones[zone].Region == s.cfg.Region {
		return 0
	}
	return 1
}

// pickAliveMember chooses one of the alive members at random.
func pickAliveMember(members, alive []structs.EntryMember) (structs.EntryMember, bool) {
	var candidates []structs.EntryMember
	for _, m := range members {
		if slices.ContainsFunc(alive, func(a structs.EntryMember) bool { return a.Node == m.Node }) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return structs.EntryMember{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// setRelayTarget changes an outgoing request into a relayed one.
func (s *Server) setRelayTarget(header http.Header, u *url.URL, t target) {
	if auth := header.Get("Authorization"); auth != "" {
		header.Set(headerCallerAuthorization, auth)
	}
	header.Set("Authorization", s.relayToken)
	header.Set(HeaderRelayed, "1")
	if t.immediate {
		header.Set(HeaderRelayed, relayedImmediate)
	}
	u.Path = RelayPath + u.Path
	if u.RawPath != "" {
		u.RawPath = RelayPath + u.RawPath
	}
}

// relayResult converts the answer of another entry node into an exchange.
func relayResult(a *answer) exchange {
	outcome := dispatch.Outcome(a.header.Get(HeaderOutcome))
	reason := Reason(a.header.Get(HeaderReason))
	switch outcome {
	case dispatch.OutcomeAnswered:
		return exchange{kind: exchangeAnswered, result: answeredResult(a)}
	case dispatch.OutcomeNotRun:
		return exchange{kind: exchangeNotRun, result: notRunResult(a.status, reason, "the entry node of another zone did not run it; send again later")}
	}
	return exchange{kind: exchangeLost, result: unknownResult(a.status, reason, "the entry node of another zone cannot tell whether it ran")}
}
