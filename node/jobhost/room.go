package jobhost

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/jobs/customer"
	"wigeonwinch/jobs/room"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
)

// roomTimeout limits one exchange with the arbiter of the customers' caps. A new arbiter
// hands out nothing for as long, because answers of the one before may be on their way.
const roomTimeout = 500 * time.Millisecond

var (
	errNotArbiter = errors.New("this node does not hand out the room below the customers' caps: ask the owner of the fleet partition")
	errRoomLate   = errors.New("the answer came too late")
)

// startArbiter begins to hand out room. The owner of the fleet partition does so.
func (h *Host) startArbiter(s *ownedShard, now int64) {
	h.arbiter = room.NewArbiter(s.epoch, now+roomTimeout.Milliseconds())
	h.updateArbiter()
	if cfg := h.config.Load(); cfg != nil && len(cfg.Customers) > 0 {
		go h.homes.refreshUntilRead(s.ctx)
	}
}

// updateArbiter tells the arbiter the caps of the configuration in force.
func (h *Host) updateArbiter() {
	if cfg := h.config.Load(); h.arbiter != nil && cfg != nil {
		h.arbiter.SetCaps(cfg.Version, shard.CustomerCaps(customersOf(cfg)))
	}
}

func customersOf(cfg *deps.Configuration) []customer.Customer {
	list := make([]customer.Customer, 0, len(cfg.Customers))
	for _, c := range cfg.Customers {
		list = append(list, c.Customer)
	}
	return list
}

// exchangeRoom reports to the arbiter what the shard holds of the customers' caps, if
// that has changed or a start waits for room.
func (h *Host) exchangeRoom(s *ownedShard, now int64) {
	arbiter, ok := (*h.owners.Load())[fleetPartition]
	if !ok {
		return
	}
	r, ok := s.core.RoomReport(now, arbiter.Epoch)
	if !ok {
		return
	}
	h.stats.roomExchanges.Add(1)
	if arbiter.Node == h.cfg.Node {
		answer, err := h.answerReport(r)
		h.applyRoom(s, now, r, answer, err)
		if len(answer.Limits) > 0 {
			// Another pass places what waited.
			go h.post(func() {})
		}
		return
	}
	go func() {
		answer, err := h.sendReport(s.ctx, arbiter.Node, r)
		h.post(func() { h.applyRoom(s, now, r, answer, err) })
	}()
}

// applyRoom applies the arbiter's answer to the report that was sent at the given time.
// This process may have been suspended since.
func (h *Host) applyRoom(s *ownedShard, sentAt int64, r room.Report, answer room.Answer, err error) {
	if err == nil && monotonicMS()-sentAt > roomTimeout.Milliseconds() {
		err = errRoomLate
	}
	if err != nil {
		s.core.RoomFailed(r.Sequence)
		if !s.roomUnanswered {
			s.roomUnanswered = true
			h.record(events.RoomUnanswered, events.Fields{Shard: s.partition.Index, Epoch: s.epoch, Err: err})
		}
		return
	}
	s.roomUnanswered = false
	s.core.ApplyRoom(r.Sequence, answer)
}

func (h *Host) sendReport(ctx context.Context, node string, r room.Report) (room.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, roomTimeout)
	defer cancel()
	body, err := encMode.Marshal(r)
	if err != nil {
		return room.Answer{}, err
	}
	data, err := h.mesh.Call(ctx, node, methodRoom, body)
	if err != nil {
		return room.Answer{}, err
	}
	var answer room.Answer
	return answer, decMode.Unmarshal(data, &answer)
}

func (h *Host) serveRoom(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var r room.Report
	if err := decMode.Unmarshal(body, &r); err != nil {
		return nil, errors.Wrap(err, "a report of room can't be decoded")
	}
	var answer room.Answer
	var rejection error
	if err := h.runOnLoop(ctx, func() { answer, rejection = h.answerReport(r) }); err != nil {
		// The control loop may still write the answer.
		return nil, err
	}
	if rejection != nil {
		return nil, rejection
	}
	return encMode.Marshal(answer)
}

// answerReport answers a report if this node certainly is the arbiter.
func (h *Host) answerReport(r room.Report) (room.Answer, error) {
	now := monotonicMS()
	s := h.owned[fleetPartition]
	if h.arbiter == nil || s == nil || !h.isSoleOwner(s, now) {
		return room.Answer{}, errNotArbiter
	}
	h.arbiter.SetRequired(h.requiredShards())
	return h.arbiter.Handle(now, r)
}

// requiredShards lists the shards that may run something. It is empty before the book of
// homes was read, which names the shards of services that are not configured any more.
func (h *Host) requiredShards() []int {
	if !h.homes.known() {
		return nil
	}
	var required []int
	for _, p := range h.requiredPartitions() {
		if p.Topic == deps.TopicJobs {
			required = append(required, p.Index)
		}
	}
	return required
}
