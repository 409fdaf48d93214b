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

// directWriter names the command line as the writer of a record.
const directWriter = "wigeonwinch"

// directPublish is one publish straight to the platform's log.
type directPublish struct {
	log      infra.Log
	state    *state.State
	verdicts map[string]structs.Verdict
}

// publishToLog publishes without a node: it folds the log, checks the
// manifest against it, appends the changes and reads the fold's verdict.
func publishToLog(ctx context.Context, address string, data []byte) (admin.PublishResult, error) {
	log, err := client.New(address, client.Options{Token: os.Getenv("WIGEONWINCH_PLATFORM_TOKEN")})
	if err != nil {
		return admin.PublishResult{}, fail(ExitUsage, "--platform: %v", err)
	}
	st, err := logstate.Read(ctx, log)
	if err != nil {
		return admin.PublishResult{}, fail(ExitUnreachable, "%v", err)
	}
	d := &directPublish{log: log, state: st, verdicts: map[string]structs.Verdict{}}
	return d.publish(ctx, data)
}

func (d *directPublish) publish(ctx context.Context, data []byte) (admin.PublishResult, error) {
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
		return refusedBy(answer, refusals), nil
	}
	record, err := structs.EncodeRecord(structs.Record{Key: answer.Key, Writer: directWriter, Publish: publish})
	if err != nil {
		return answer, fail(ExitFailed, "%v", err)
	}
	_, appendErr := d.log.Append(ctx, [][]byte{record})
	answer.Changes = len(changes)
	return d.judge(ctx, answer, appendErr)
}

// judge reads on until the verdict on the record is known.
func (d *directPublish) judge(ctx context.Context, answer admin.PublishResult, appendErr error) (admin.PublishResult, error) {
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
		return answer, fail(ExitUnreachable, "nothing was published: %v", appendErr)
	default:
		answer.Outcome = admin.OutcomeNotKnown
		if err != nil {
			answer.Detail = err.Error()
		}
	}
	return answer, nil
}

func (d *directPublish) lookup(key string) (structs.Verdict, bool) {
	verdict, ok := d.verdicts[key]
	return verdict, ok
}

func refusedBy(answer admin.PublishResult, refusals []*state.Refusal) admin.PublishResult {
	answer.Outcome = admin.OutcomeRefused
	answer.Reason, answer.Detail = refusals[0].Void, refusals[0].Detail
	for _, r := range refusals {
		answer.Refusals = append(answer.Refusals, admin.Refusal{Reason: r.Void, Detail: r.Detail})
	}
	return answer
}
