package depstest

import (
	"context"
	"encoding/json"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
)

// Codec implements deps.Codec. It encodes configurations and workers as JSON.
type Codec struct{}

// Operator implements deps.Codec.
func (Codec) Operator(r shard.Record) (deps.OperatorChange, error) {
	cfg := &deps.Configuration{}
	return deps.OperatorChange{Configuration: cfg}, json.Unmarshal(r.Value, cfg)
}

// Worker implements deps.Codec.
func (Codec) Worker(r shard.Record) (deps.WorkerChange, error) {
	change := deps.WorkerChange{ID: r.Key}
	return change, json.Unmarshal(r.Value, &change.Worker)
}

// WaveStatus implements deps.Codec.
func (Codec) WaveStatus(int, bool) (shard.Record, error) { return shard.Record{Key: "w"}, nil }

// Put stores a value as JSON under a key in the first partition of a topic.
func (s *Store) Put(topic deps.Topic, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.Append(context.Background(), deps.Append{Partition: deps.Partition{Topic: topic}, Records: []shard.Record{{Key: key, Value: data}}})
}
