// Package report renders a recorded demo run as one self-contained HTML page. It
// shows the wait by class over time, the slots in use, the available workers
// against their budgets, the progress of the rollout wave and the timeline.
//
//	page, err := report.Page(recording)
package report

import (
	"bytes"
	"encoding/base64"
	"html/template"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"

	"wigeonwinch/cmd/internal/demo"
)

// Sizes of a plot.
const (
	pictureWidth  = 10 * vg.Inch
	pictureHeight = 3.4 * vg.Inch
	legendWidth   = 2.3 * vg.Inch
)

// maxTimelineRows is the maximum number of events on the page.
const maxTimelineRows = 400

// picture is one plot on the page.
type picture struct {
	Title string
	Note  string
	Image template.URL
}

// pageData is the data of pageTemplate.
type pageData struct {
	Result   demo.Result
	Clean    bool
	Pictures []picture
	Timeline []timelineRow
	Dropped  int
}

// Page renders the HTML page for a recording.
func Page(rec *demo.Recording) ([]byte, error) {
	data := pageData{Result: rec.Result, Clean: rec.Result.Clean()}
	for _, draw := range []func(*demo.Recording) (picture, error){plotWaits, plotBusySlots, plotAvailableWorkers, plotWaveProgress} {
		p, err := draw(rec)
		if err != nil {
			return nil, err
		}
		data.Pictures = append(data.Pictures, p)
	}
	data.Timeline, data.Dropped = timelineRows(rec.Timeline)
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, data); err != nil {
		return nil, errors.Wrap(err, "execute the page template")
	}
	return out.Bytes(), nil
}

// render renders a plot as an embedded SVG image.
func render(p *plot.Plot, title, note string) (picture, error) {
	reserveLegendSpace(p)
	writer, err := p.WriterTo(pictureWidth, pictureHeight, "svg")
	if err != nil {
		return picture{}, errors.Wrapf(err, "render plot %s", title)
	}
	var out bytes.Buffer
	if _, err := writer.WriteTo(&out); err != nil {
		return picture{}, errors.Wrapf(err, "render plot %s", title)
	}
	encoded := base64.StdEncoding.EncodeToString(out.Bytes())
	return picture{Title: title, Note: note, Image: template.URL("data:image/svg+xml;base64," + encoded)}, nil
}
