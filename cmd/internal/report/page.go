package report

import (
	"html/template"

	"wigeonwinch/node/timeline"
)

// timelineRow is one event in the page's timeline.
type timelineRow struct {
	Time     string
	Node     string
	Name     string
	Severity string
	Subject  string
	Detail   string
}

// timelineRows returns the rows for the latest events above debug severity, and
// the number of older events left out.
func timelineRows(entries []timeline.Entry) ([]timelineRow, int) {
	var list []timelineRow
	for _, e := range entries {
		if e.Severity == "debug" {
			continue
		}
		list = append(list, timelineRow{
			Time:     e.Stamp.Time().Format("15:04:05.000"),
			Node:     e.Node,
			Name:     e.Name,
			Severity: e.Severity,
			Subject:  firstNonEmpty(e.Request, e.VM, e.Pool, e.Service, e.Team, e.Peer),
			Detail:   e.Detail,
		})
	}
	if len(list) <= maxTimelineRows {
		return list, 0
	}
	dropped := len(list) - maxTimelineRows
	return list[dropped:], dropped
}

func firstNonEmpty(values ...string) string {
	for _, value := range values {
		if value != "" {
			return value
		}
	}
	return ""
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>wigeonwinch: report of a run</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; color: #222; margin: 2rem auto; max-width: 62rem; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin-bottom: .2rem; }
h2 { font-size: 1.1rem; margin: 2rem 0 .2rem; }
p.note { color: #555; margin: 0 0 .5rem; }
img { width: 100%; border: 1px solid #ddd; }
table { border-collapse: collapse; width: 100%; }
td, th { text-align: left; padding: .2rem .6rem; border-bottom: 1px solid #e5e5e5; vertical-align: top; }
.figures td:nth-child(2) { text-align: right; font-variant-numeric: tabular-nums; }
.events { font-size: 12.5px; }
.events td:nth-child(-n+4) { white-space: nowrap; }
.ok { color: #137333; } .bad { color: #b3261e; }
tr.warning td { background: #fff7e0; } tr.error td, tr.violation td { background: #fde8e6; }
</style>
<h1>Report of a run</h1>
<p class="{{if .Clean}}ok{{else}}bad{{end}}">{{if .Clean}}Every promise held.{{else}}A promise did not hold; see the figures.{{end}}</p>
<table class="figures">
<tr><td>requests sent</td><td>{{.Result.Sent}}</td><td>lost</td><td>{{.Result.Lost}}</td></tr>
<tr><td>answered</td><td>{{.Result.Answered}}</td><td>doubled</td><td>{{.Result.Doubled}}</td></tr>
<tr><td>not run</td><td>{{.Result.NotRun}}</td><td>crossed</td><td>{{.Result.Crossed}}</td></tr>
<tr><td>unknown</td><td>{{.Result.Unknown}}</td><td>cut</td><td>{{.Result.Cut}}</td></tr>
<tr><td>short work, 99th percentile wait, ms</td><td>{{printf "%.0f" .Result.ShortWaitP99MS}}</td><td>broken invariants</td><td>{{.Result.Violations}}</td></tr>
<tr><td>long work, 99th percentile wait, ms</td><td>{{printf "%.0f" .Result.LongWaitP99MS}}</td><td>change in force everywhere, ms</td><td>{{printf "%.0f" .Result.ConfigInForceMS}}</td></tr>
</table>
{{range .Pictures}}<h2>{{.Title}}</h2><p class="note">{{.Note}}</p><img alt="{{.Title}}" src="{{.Image}}">
{{end}}<h2>Time line</h2>
<p class="note">Events of all nodes in causal order.{{if .Dropped}} The {{.Dropped}} oldest are left out.{{end}}</p>
<table class="events"><tr><th>time</th><th>node</th><th>event</th><th>subject</th><th>detail</th></tr>
{{range .Timeline}}<tr class="{{.Severity}}"><td>{{.Time}}</td><td>{{.Node}}</td><td>{{.Name}}</td><td>{{.Subject}}</td><td>{{.Detail}}</td></tr>
{{end}}</table>
</html>
`))
