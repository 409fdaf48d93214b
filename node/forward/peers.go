package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/dispatch/claims"
	"wigeonwinch/node/events"
	"wigeonwinch/node/pause"
)

// handlePeers takes the messages of other entry nodes.
func (s *Server) handlePeers() {
	handle(s, methodClaim, s.onClaim)
	handle(s, methodRelease, s.onRelease)
	handle(s, methodCopy, s.onCopy)
	handle(s, methodLook, s.onLook)
	handle(s, methodHandover, s.onHandover)
	handle(s, methodEpochCheck, s.onEpochCheck)
	handle(s, methodLeaving, s.onLeaving)
	handle(s, methodSlots, s.onSlots)
	handle(s, methodSpare, s.onSpare)
}

// empty is the reply to a message that needs none.
type empty struct{}

// handle registers a typed handler.
func handle[Q, A any](s *Server, method uint16, h func(from string, q Q) A) {
	s.cfg.Peers.Handle(method, func(_ context.Context, from string, body []byte) ([]byte, error) {
		q, err := decode[Q](body)
		if err != nil {
			s.cfg.Events.Record(events.ForwardPeerMessageInvalid, events.Fields{Peer: from, Err: err})
			return nil, err
		}
		return encode(h(from, q))
	})
}

// call sends a message and waits for its typed answer.
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

// home returns the member that keeps a key, as this node knows it.
func (s *Server) home(key claims.Key) (claims.Member, []claims.Member, uint64) {
	rt := s.refresh()
	if rt == nil {
		return claims.Member{}, nil, 0
	}
	zone := claims.HomeZone(key, rt.zones)
	members := rt.members[zone]
	home, _ := claims.HomeMember(key, members)
	return home, members, uint64(rt.view.Entry[zone].Epoch)
}

// claimAtHome claims a request, trying for ClaimTimeout. Reached is false
// when the home may hold the claim without this node knowing it.
func (s *Server) claimAtHome(ctx context.Context, r *request) (reply claims.ClaimReply, reached bool) {
	if s.claims.off {
		return claims.ClaimReply{Verdict: claims.Granted}, true
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Limits.ClaimTimeout)
	defer cancel()
	reached = true
	for delay := minClaimPause; ; delay = min(2*delay, maxClaimPause) {
		var err error
		sent := s.cfg.Clock()
		reply, err = s.claimOnce(ctx, r)
		if err != nil || s.tooLate(sent, reply) {
			reached = false
			reply = claims.ClaimReply{Verdict: claims.NotHome}
		}
		if !tryAgain(reply.Verdict) || !pause.For(ctx, delay) {
			return reply, reached
		}
	}
}

// tooLate says whether a grant took so long that the home may have been paused
// and replaced in between. A takeover waits longer than this after the fence.
func (s *Server) tooLate(sent time.Time, reply claims.ClaimReply) bool {
	took := s.cfg.Clock().Sub(sent)
	return reply.Verdict == claims.Granted && took > claims.FenceMargin(s.cfg.Limits.ClaimFence)
}

// tryAgain says whether a verdict may change soon.
func tryAgain(v claims.Verdict) bool {
	return v == claims.NotHome || v == claims.Fenced || v == claims.HandingOver
}

func (s *Server) claimOnce(ctx context.Context, r *request) (claims.ClaimReply, error) {
	home, _, epoch := s.home(r.claim.key)
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
	if !r.issued.IsZero() {
		c.IssuedMS = r.issued.UnixMilli()
	}
	if home == s.self {
		return s.grant(c), nil
	}
	return call[claims.ClaimReply](ctx, s, home.Node, methodClaim, c)
}

// grant decides a claim as its home, and copies it when it is granted.
func (s *Server) grant(c claims.Claim) claims.ClaimReply {
	s.refresh()
	now := s.cfg.Clock()
	reply := s.claims.claimHere(now, c)
	if reply.Verdict != claims.Granted {
		return reply
	}
	if second, ok := s.copyHolder(c.Key); ok {
		s.cast(second.Node, methodCopy, claims.Entry{
			Key: c.Key, Fingerprint: c.Fingerprint, Holder: c.Holder, Token: c.Token, ClaimedMS: now.UnixMilli(),
		})
	}
	return reply
}

// copyHolder returns the member that keeps copies of this node's grants.
func (s *Server) copyHolder(key claims.Key) (claims.Member, bool) {
	_, members, _ := s.home(key)
	second, ok := claims.CopyMember(key, members)
	return second, ok && second != s.self
}

// release gives a claim back at its home.
func (s *Server) release(r *request) {
	if s.claims.off {
		return
	}
	rel := claims.Release{Key: r.claim.key, Holder: s.self, Token: r.claim.token}
	home, members, _ := s.home(r.claim.key)
	if home == s.self {
		s.onRelease(s.cfg.Node, rel)
		return
	}
	if len(members) > 0 {
		s.cast(home.Node, methodRelease, rel)
	}
}

func (s *Server) onClaim(_ string, c claims.Claim) claims.ClaimReply {
	return s.grant(c)
}

// onRelease frees an id here; the home also tells the holder of the copy.
func (s *Server) onRelease(_ string, rel claims.Release) empty {
	s.claims.releaseHere(rel)
	home, _, _ := s.home(rel.Key)
	if second, ok := s.copyHolder(rel.Key); ok && home == s.self {
		s.cast(second.Node, methodRelease, rel)
	}
	return empty{}
}

func (s *Server) onCopy(_ string, e claims.Entry) empty {
	s.claims.lock.Lock()
	defer s.claims.lock.Unlock()
	s.claims.table.Copy(s.cfg.Clock(), e)
	return empty{}
}

func (s *Server) onLook(_ string, q lookRequest) lookReply {
	if q.Incarnation != s.self.Incarnation {
		return lookReply{}
	}
	look, found := s.claims.look(q.Key, q.Token)
	return lookReply{Found: found, State: look.State, Answer: look.Answer}
}

// lookAt asks the holder of an earlier copy how far it is.
func (s *Server) lookAt(ctx context.Context, key claims.Key, first holder) (claims.Look, bool, error) {
	if first.member == s.self {
		look, found := s.claims.look(key, first.token)
		return look, found, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Limits.ClaimTimeout)
	defer cancel()
	q := lookRequest{Key: key, Token: first.token, Incarnation: first.member.Incarnation}
	reply, err := call[lookReply](ctx, s, first.member.Node, methodLook, q)
	return claims.Look{State: reply.State, Answer: reply.Answer}, reply.Found, err
}

func (s *Server) onLeaving(_ string, m leavingMessage) empty {
	s.noteLeaving(m.VM)
	return empty{}
}

// tellLeaving passes a sign of leaving on to the zone's members.
func (s *Server) tellLeaving(vm string) {
	for _, m := range s.routes.Load().members[s.cfg.Zone] {
		if m != s.self {
			s.cast(m.Node, methodLeaving, leavingMessage{VM: vm})
		}
	}
}

func (s *Server) onEpochCheck(_ string, q claims.EpochCheck) claims.EpochCheckReply {
	rt := s.refresh()
	if rt == nil {
		return claims.EpochCheckReply{}
	}
	return claims.EpochCheckReply{Self: s.self, Epoch: uint64(rt.view.Entry[q.Zone].Epoch)}
}

func (s *Server) onHandover(_ string, q claims.HandoverRequest) claims.HandoverReply {
	s.refresh()
	s.claims.lock.Lock()
	defer s.claims.lock.Unlock()
	return s.claims.table.Handover(s.cfg.Clock(), q)
}

// followClaims verifies the entry epoch and takes claims over.
func (s *Server) followClaims(ctx context.Context, rt *routes, tailAt time.Time) {
	now := s.cfg.Clock()
	s.claims.lock.Lock()
	s.claims.table.TailRead(tailAt)
	s.claims.table.Tick(now)
	awaiting := s.claims.table.Awaiting()
	check := now.Sub(s.claims.checkedAt) >= s.cfg.Limits.ClaimFence/3
	if check {
		s.claims.checkedAt = now
	}
	s.claims.lock.Unlock()
	if check {
		s.checkEpoch(ctx, rt)
	}
	for _, m := range awaiting {
		s.askHandover(ctx, m)
	}
}

// checkEpoch asks the zone's members which epoch they know.
func (s *Server) checkEpoch(ctx context.Context, rt *routes) {
	zone := s.cfg.Zone
	q := claims.EpochCheck{Zone: zone, Epoch: uint64(rt.view.Entry[zone].Epoch)}
	for _, m := range rt.members[zone] {
		if m == s.self {
			continue
		}
		go s.checkEpochWith(ctx, m, q)
	}
}

func (s *Server) checkEpochWith(ctx context.Context, m claims.Member, q claims.EpochCheck) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Limits.ClaimFence)
	defer cancel()
	sent := s.cfg.Clock()
	reply, err := call[claims.EpochCheckReply](ctx, s, m.Node, methodEpochCheck, q)
	if err != nil || reply.Self != m {
		return
	}
	s.claims.lock.Lock()
	defer s.claims.lock.Unlock()
	s.claims.table.Heard(m, sent, reply.Epoch)
}

// askHandover fetches the records of a former home, unless a fetch from it is
// going on.
func (s *Server) askHandover(ctx context.Context, m claims.Member) {
	s.claims.lock.Lock()
	defer s.claims.lock.Unlock()
	if s.claims.asking[m] {
		return
	}
	s.claims.asking[m] = true
	go s.fetchHandover(ctx, m, s.claims.table.Epoch())
}

// fetchHandover fetches all pages for one epoch.
func (s *Server) fetchHandover(ctx context.Context, m claims.Member, epoch uint64) {
	defer func() {
		s.claims.lock.Lock()
		defer s.claims.lock.Unlock()
		delete(s.claims.asking, m)
	}()
	q := claims.HandoverRequest{From: s.self, To: m, Epoch: epoch}
	for {
		next, ok := s.fetchPage(ctx, m, q)
		if !ok || next == 0 {
			return
		}
		q.Page = next
	}
}

// fetchPage fetches one page and returns the number of the next.
func (s *Server) fetchPage(ctx context.Context, m claims.Member, q claims.HandoverRequest) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	reply, err := call[claims.HandoverReply](ctx, s, m.Node, methodHandover, q)
	if err != nil || !reply.Ready {
		return 0, false
	}
	s.claims.lock.Lock()
	defer s.claims.lock.Unlock()
	s.claims.table.TakeHandover(s.cfg.Clock(), m, reply)
	if _, done := s.claims.table.CompleteSince(); done {
		s.cfg.Events.Record(events.ForwardHandoverDone, events.Fields{Peer: m.Node})
	}
	return reply.Next, true
}

// handoverTimeout bounds the wait for one page of a handover.
const handoverTimeout = 2 * time.Second
