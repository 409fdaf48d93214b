package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/dispatch/claims"
	"wigeonwinch/node/events"
	"wigeonwinch/node/pause"
)

// registerPeerHandlers registers the handlers for messages from other entry
// nodes.
func (s *Server) registerPeerHandlers() {
	registerHandler(s, methodClaim, s.handleClaim)
	registerHandler(s, methodRelease, s.handleRelease)
	registerHandler(s, methodReplicate, s.handleReplicate)
	registerHandler(s, methodLookup, s.handleLookup)
	registerHandler(s, methodHandover, s.handleHandover)
	registerHandler(s, methodEpochCheck, s.handleEpochCheck)
	registerHandler(s, methodLeaving, s.handleLeaving)
	registerHandler(s, methodSlots, s.handleSlots)
	registerHandler(s, methodFreeSlots, s.handleFreeSlots)
}

// empty is the reply to a message whose reply holds no data.
type empty struct{}

// registerHandler registers a handler that takes and returns typed messages.
func registerHandler[Q, A any](s *Server, method uint16, h func(from string, q Q) A) {
	s.cfg.Peers.Handle(method, func(_ context.Context, from string, body []byte) ([]byte, error) {
		q, err := decode[Q](body)
		if err != nil {
			s.cfg.Events.Record(events.ForwardPeerMessageInvalid, events.Fields{Peer: from, Err: err})
			return nil, err
		}
		return encode(h(from, q))
	})
}

// call sends a message and waits for its typed reply.
func call[A any](ctx context.Context, s *Server, node string, method uint16, q any) (A, error) {
	var none A
	body, err := encode(q)
	if err != nil {
		return none, err
	}
	data, err := s.cfg.Peers.Call(ctx, node, method, body)
	if err != nil {
		return none, errors.Wrapf(err, "call %s", node)
	}
	return decode[A](data)
}

func (s *Server) cast(node string, method uint16, q any) {
	body, err := encode(q)
	if err != nil {
		return
	}
	s.cfg.Peers.Cast(node, method, body)
}

// homeOf returns the home node of a key, the members of its home zone and the
// zone's entry epoch, according to this node's view.
func (s *Server) homeOf(key claims.Key) (claims.Member, []claims.Member, uint64) {
	rt := s.refresh()
	if rt == nil {
		return claims.Member{}, nil, 0
	}
	zone := claims.HomeZone(key, rt.zones)
	members := rt.members[zone]
	home, _ := claims.HomeMember(key, members)
	return home, members, uint64(rt.view.EntryEpochs[zone].Epoch)
}

// claimAtHome claims a request at its home node, with retries until
// ClaimTimeout. It returns certain as false when the home node may hold a
// claim that this node does not know to be granted.
func (s *Server) claimAtHome(ctx context.Context, r *request) (reply claims.ClaimReply, certain bool) {
	if s.claims.disabled {
		return claims.ClaimReply{Verdict: claims.Granted}, true
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Limits.ClaimTimeout)
	defer cancel()
	certain = true
	for delay := minClaimBackoff; ; delay = min(2*delay, maxClaimBackoff) {
		var err error
		sent := s.cfg.Clock()
		reply, err = s.claimOnce(ctx, r)
		if err != nil || s.grantExpired(sent, reply) {
			certain = false
			reply = claims.ClaimReply{Verdict: claims.NotHome}
		}
		if !isTransient(reply.Verdict) || !pause.For(ctx, delay) {
			return reply, certain
		}
	}
}

// grantExpired reports whether a grant took so long that the home node may
// have been paused and replaced in the meantime. A takeover waits for the fence
// time plus the same margin.
func (s *Server) grantExpired(sent time.Time, reply claims.ClaimReply) bool {
	elapsed := s.cfg.Clock().Sub(sent)
	return reply.Verdict == claims.Granted && elapsed > claims.FenceMargin(s.cfg.Limits.ClaimFence)
}

// isTransient reports whether a verdict may change soon.
func isTransient(v claims.Verdict) bool {
	return v == claims.NotHome || v == claims.Fenced || v == claims.HandingOver
}

func (s *Server) claimOnce(ctx context.Context, r *request) (claims.ClaimReply, error) {
	home, _, epoch := s.homeOf(r.claim.key)
	if home == (claims.Member{}) {
		return claims.ClaimReply{Verdict: claims.NotHome}, nil
	}
	c := claims.Claim{
		Key:         r.claim.key,
		Fingerprint: r.claim.fingerprint,
		Holder:      s.self,
		Token:       r.claim.token,
		Epoch:       epoch,
	}
	if !r.issuedAt.IsZero() {
		c.IssuedMS = r.issuedAt.UnixMilli()
	}
	if home == s.self {
		return s.grantClaim(c), nil
	}
	return call[claims.ClaimReply](ctx, s, home.Node, methodClaim, c)
}

// grantClaim decides a claim as its home node, and replicates the claim when
// it is granted.
func (s *Server) grantClaim(c claims.Claim) claims.ClaimReply {
	s.refresh()
	now := s.cfg.Clock()
	reply := s.claims.claimLocal(now, c)
	if reply.Verdict != claims.Granted {
		return reply
	}
	if replica, ok := s.replicaMember(c.Key); ok {
		s.cast(replica.Node, methodReplicate, claims.Entry{
			Key: c.Key, Fingerprint: c.Fingerprint, Holder: c.Holder, Token: c.Token, ClaimedMS: now.UnixMilli(),
		})
	}
	return reply
}

// replicaMember returns the member that keeps the replicas of this node's
// grants.
func (s *Server) replicaMember(key claims.Key) (claims.Member, bool) {
	_, members, _ := s.homeOf(key)
	replica, ok := claims.ReplicaMember(key, members)
	return replica, ok && replica != s.self
}

// releaseClaim releases a claim at its home node.
func (s *Server) releaseClaim(r *request) {
	if s.claims.disabled {
		return
	}
	rel := claims.Release{Key: r.claim.key, Holder: s.self, Token: r.claim.token}
	home, members, _ := s.homeOf(r.claim.key)
	if home == s.self {
		s.handleRelease(s.cfg.Node, rel)
		return
	}
	if len(members) > 0 {
		s.cast(home.Node, methodRelease, rel)
	}
}

func (s *Server) handleClaim(_ string, c claims.Claim) claims.ClaimReply {
	return s.grantClaim(c)
}

// handleRelease removes a claim on this node. The home node also forwards the
// release to the member that keeps the replica.
func (s *Server) handleRelease(_ string, rel claims.Release) empty {
	s.claims.releaseLocal(rel)
	home, _, _ := s.homeOf(rel.Key)
	if replica, ok := s.replicaMember(rel.Key); ok && home == s.self {
		s.cast(replica.Node, methodRelease, rel)
	}
	return empty{}
}

func (s *Server) handleReplicate(_ string, e claims.Entry) empty {
	s.claims.lock.Lock()
	defer s.claims.lock.Unlock()
	s.claims.table.StoreReplica(s.cfg.Clock(), e)
	return empty{}
}

func (s *Server) handleLookup(_ string, q lookupRequest) lookupReply {
	if q.Incarnation != s.self.Incarnation {
		return lookupReply{}
	}
	status, found := s.claims.lookUp(q.Key, q.Token)
	return lookupReply{Found: found, State: status.State, Answer: status.Answer}
}

// lookUpCopy asks the holder of an earlier copy for the status of its
// execution.
func (s *Server) lookUpCopy(ctx context.Context, key claims.Key, earlier earlierCopy) (claims.ExecutionStatus, bool, error) {
	if earlier.member == s.self {
		status, found := s.claims.lookUp(key, earlier.token)
		return status, found, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Limits.ClaimTimeout)
	defer cancel()
	q := lookupRequest{Key: key, Token: earlier.token, Incarnation: earlier.member.Incarnation}
	reply, err := call[lookupReply](ctx, s, earlier.member.Node, methodLookup, q)
	return claims.ExecutionStatus{State: reply.State, Answer: reply.Answer}, reply.Found, err
}

func (s *Server) handleLeaving(_ string, m leavingMessage) empty {
	s.markLeaving(m.VM)
	return empty{}
}

// broadcastLeaving informs the zone's other members that a worker is leaving.
func (s *Server) broadcastLeaving(vm string) {
	for _, m := range s.routes.Load().members[s.cfg.Zone] {
		if m != s.self {
			s.cast(m.Node, methodLeaving, leavingMessage{VM: vm})
		}
	}
}

func (s *Server) handleEpochCheck(_ string, q claims.EpochCheck) claims.EpochCheckReply {
	rt := s.refresh()
	if rt == nil {
		return claims.EpochCheckReply{}
	}
	return claims.EpochCheckReply{Self: s.self, Epoch: uint64(rt.view.EntryEpochs[q.Zone].Epoch)}
}

func (s *Server) handleHandover(_ string, q claims.HandoverRequest) claims.HandoverReply {
	s.refresh()
	s.claims.lock.Lock()
	defer s.claims.lock.Unlock()
	return s.claims.table.Handover(s.cfg.Clock(), q)
}

// maintainClaims verifies the entry epoch and takes over the claims of former
// home nodes.
func (s *Server) maintainClaims(ctx context.Context, rt *routes, tailAt time.Time) {
	now := s.cfg.Clock()
	s.claims.lock.Lock()
	s.claims.table.RecordTailRead(tailAt)
	s.claims.table.Tick(now)
	pending := s.claims.table.PendingHandovers()
	checkDue := now.Sub(s.claims.epochCheckedAt) >= s.cfg.Limits.ClaimFence/3
	if checkDue {
		s.claims.epochCheckedAt = now
	}
	s.claims.lock.Unlock()
	if checkDue {
		s.checkEpochs(ctx, rt)
	}
	for _, m := range pending {
		s.startHandover(ctx, m)
	}
}

// checkEpochs asks the zone's other members which entry epoch they know.
func (s *Server) checkEpochs(ctx context.Context, rt *routes) {
	zone := s.cfg.Zone
	q := claims.EpochCheck{Zone: zone, Epoch: uint64(rt.view.EntryEpochs[zone].Epoch)}
	for _, m := range rt.members[zone] {
		if m == s.self {
			continue
		}
		go s.checkEpochOf(ctx, m, q)
	}
}

func (s *Server) checkEpochOf(ctx context.Context, m claims.Member, q claims.EpochCheck) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Limits.ClaimFence)
	defer cancel()
	sent := s.cfg.Clock()
	reply, err := call[claims.EpochCheckReply](ctx, s, m.Node, methodEpochCheck, q)
	if err != nil || reply.Self != m {
		return
	}
	s.claims.lock.Lock()
	defer s.claims.lock.Unlock()
	s.claims.table.RecordEpochCheck(m, sent, reply.Epoch)
}

// startHandover starts to fetch the claim records of a former home node,
// unless a fetch from it is in progress.
func (s *Server) startHandover(ctx context.Context, m claims.Member) {
	s.claims.lock.Lock()
	defer s.claims.lock.Unlock()
	if s.claims.fetchingFrom[m] {
		return
	}
	s.claims.fetchingFrom[m] = true
	go s.fetchHandover(ctx, m, s.claims.table.Epoch())
}

// fetchHandover fetches all pages of a handover for one epoch.
func (s *Server) fetchHandover(ctx context.Context, m claims.Member, epoch uint64) {
	defer func() {
		s.claims.lock.Lock()
		defer s.claims.lock.Unlock()
		delete(s.claims.fetchingFrom, m)
	}()
	q := claims.HandoverRequest{From: s.self, To: m, Epoch: epoch}
	for {
		next, ok := s.fetchHandoverPage(ctx, m, q)
		if !ok || next == 0 {
			return
		}
		q.Page = next
	}
}

// fetchHandoverPage fetches one page and returns the number of the next, or
// zero after the last.
func (s *Server) fetchHandoverPage(ctx context.Context, m claims.Member, q claims.HandoverRequest) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	reply, err := call[claims.HandoverReply](ctx, s, m.Node, methodHandover, q)
	if err != nil || !reply.Ready {
		return 0, false
	}
	s.claims.lock.Lock()
	defer s.claims.lock.Unlock()
	s.claims.table.ApplyHandover(s.cfg.Clock(), m, reply)
	if _, done := s.claims.table.CompleteSince(); done {
		s.cfg.Events.Record(events.ForwardHandoverDone, events.Fields{Peer: m.Node})
	}
	return reply.Next, true
}

// handoverTimeout is the maximum time to fetch one page of a handover.
const handoverTimeout = 2 * time.Second
