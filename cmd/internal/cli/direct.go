package cli

import (
	"context"
	"os"

	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/state"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
	"wigeonwinch/infra/client"
	"wigeonwinch/infra/logstate"
	"wigeonwinch/node/admin"
)

// directWriter is the writer name in records that the command line appends.
const directWriter = "wigeonwinch"

// directPublisher publishes one manifest directly to the platform's log.
type directPublisher struct {
	log   infra.Log
	state *state.State
	// verdicts holds the verdicts on the records read since the append, by key.
	verdicts map[string]structs.Verdict
}

// publishToLog publishes a manifest without a node. It replays the log, checks
// the manifest against the resulting state, appends a record with the changes and
// replays the log further to learn whether the state accepted the record.
func publishToLog(ctx context.Context, address string, data []byte) (admin.PublishResult, error) {
	log, err := client.New(address, client.Options{Token: os.Getenv("WIGEONWINCH_PLATFORM_TOKEN")})
	if err != nil {
		return admin.PublishResult{}, exitErrorf(ExitUsage, "--platform: %v", err)
	}
	st, err := logstate.Read(ctx, log)
	if err != nil {
		return admin.PublishResult{}, exitErrorf(ExitUnreachable, "%v", err)
	}
	d := &directPublisher{log: log, state: st, verdicts: map[string]structs.Verdict{}}
	return d.publish(ctx, data)
}

func (d *directPublisher) publish(ctx context.Context, data []byte) (admin.PublishResult, error) {
	m, _ := manifest.Parse(data)
	view := d.state.View()
	answer := admin.PublishResult{Outcome: admin.OutcomeUnchanged, Offset: view.PublishedAt, Generation: view.Generation}
	changes := manifest.Diff(view, m)
	if len(changes) == 0 {
		return answer, nil
	}
	answer.Key = admin.PublishKey(data, d.lookup)
	publish := &structs.Publish{Base: structs.Generation(m.BaseGeneration), Changes: changes}
	if refusals := d.state.CheckPublish(publish); len(refusals) > 0 {
		return refusedAnswer(answer, refusals), nil
	}
	record, err := structs.EncodeRecord(structs.Record{Key: answer.Key, Writer: directWriter, Publish: publish})
	if err != nil {
		return answer, exitErrorf(ExitFailed, "%v", err)
	}
	_, appendErr := d.log.Append(ctx, [][]byte{record})
	answer.Changes = len(changes)
	return d.awaitVerdict(ctx, answer, appendErr)
}

// awaitVerdict replays the log up to its tail and sets the outcome from the
// verdict on the record. Without a verdict, the publish failed if the log rejected
// the append as unavailable or rate limited; otherwise its outcome is not known.
func (d *directPublisher) awaitVerdict(ctx context.Context, answer admin.PublishResult, appendErr error) (admin.PublishResult, error) {
	_, err := logstate.CatchUp(ctx, d.log, d.state, func(v structs.Verdict) { d.verdicts[v.Key] = v })
	verdict, known := d.verdicts[answer.Key]
	switch {
	case known && verdict.Void == structs.VoidNone:
		answer.Outcome = admin.OutcomeAccepted
		answer.Offset = verdict.Offset
		answer.Generation = d.state.View().Generation
	case known:
		answer.Outcome = admin.OutcomeRefused
		answer.Reason, answer.Detail = verdict.Void, verdict.Detail
	case infra.KindOf(appendErr) == infra.KindUnavailable || infra.KindOf(appendErr) == infra.KindRateLimited:
		return answer, exitErrorf(ExitUnreachable, "nothing was published: %v", appendErr)
	default:
		answer.Outcome = admin.OutcomeNotKnown
		if err != nil {
			answer.Detail = err.Error()
		}
	}
	return answer, nil
}

func (d *directPublisher) lookup(key string) (structs.Verdict, bool) {
	verdict, ok := d.verdicts[key]
	return verdict, ok
}

func refusedAnswer(answer admin.PublishResult, refusals []*state.Refusal) admin.PublishResult {
	answer.Outcome = admin.OutcomeRefused
	answer.Reason, answer.Detail = refusals[0].Void, refusals[0].Detail
	for _, r := range refusals {
		answer.Refusals = append(answer.Refusals, admin.Refusal{Reason: r.Void, Detail: r.Detail})
	}
	return answer
}
