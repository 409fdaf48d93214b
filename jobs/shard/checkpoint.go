package shard

// saveCheckpoint records a checkpoint that a worker has reported for a task. One of any
// member is valid for a whole gang, and all members must resume from the same one.
func (j *job) saveCheckpoint(k Key, checkpoint string) {
	so := j.step(k)
	if so.isGang {
		so.gangCheckpoint = checkpoint
		return
	}
	so.tasks[k.Index].checkpoint = checkpoint
}

// checkpoint returns the checkpoint from which a task resumes; empty if there is none.
func (j *job) checkpoint(k Key) string { return j.step(k).checkpoint(k.Index) }

func (s *step) checkpoint(index int) string {
	if s.isGang {
		return s.gangCheckpoint
	}
	return s.tasks[index].checkpoint
}
