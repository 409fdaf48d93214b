package jobhost

// stateRoom returns how many bytes the open jobs of a shard may take up: what those of
// the node's other shards leave, at least 1, or 0 if there is no bound.
func (h *Host) stateRoom(of *ownedShard) int64 {
	if h.cfg.StateBytes == 0 {
		return 0
	}
	room := h.cfg.StateBytes
	for _, s := range h.owned {
		if s != of && s.core != nil {
			room -= s.core.StateBytes()
		}
	}
	return max(room, 1)
}
