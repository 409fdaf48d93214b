// Package report draws one self-contained HTML page from a recorded run:
// waiting by class over time, workers in use, available workers against their
// budgets, the progress of the wave and the time line.
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

// Size of one picture.
const (
	pictureWidth  = 10 * vg.Inch
	pictureHeight = 3.4 * vg.Inch
	legendWidth   = 2.3 * vg.Inch
)

// maxTimelineRows bounds the events shown.
const maxTimelineRows = 400

// picture is one plot on the page.
type picture struct {
	Title string
	Note  string
	Image template.URL
}

// content is what the template shows.
type content struct {
	Result   demo.Result
	Clean    bool
	Pictures []picture
	Timeline []row
	Dropped  int
}

// Page returns the page of a recording.
func Page(rec *demo.Recording) ([]byte, error) {
	c := content{Result: rec.Result, Clean: rec.Result.Clean()}
	for _, draw := range []func(*demo.Recording) (picture, error){waiting, inUse, buffer, wave} {
		p, err := draw(rec)
		if err != nil {
			return nil, err
		}
		c.Pictures = append(c.Pictures, p)
	}
	c.Timeline, c.Dropped = rows(rec.Timeline)
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, c); err != nil {
		return nil, errors.Wrap(err, "write the page")
	}
	return out.Bytes(), nil
}

// render turns a plot into an embedded SVG picture.
func render(p *plot.Plot, title, note string) (picture, error) {
	makeRoom(p)
	writer, err := p.WriterTo(pictureWidth, pictureHeight, "svg")
	if err != nil {
		return picture{}, errors.Wrapf(err, "draw %s", title)
	}
	var out bytes.Buffer
	if _, err := writer.WriteTo(&out); err != nil {
		return picture{}, errors.Wrapf(err, "draw %s", title)
	}
	encoded := base64.StdEncoding.EncodeToString(out.Bytes())
	return picture{Title: title, Note: note, Image: template.URL("data:image/svg+xml;base64," + encoded)}, nil
}
