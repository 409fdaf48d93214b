package report

import (
	"image/color"
	"math"
	"sort"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"wigeonwinch/cmd/internal/demo"
)

// Parameters of the plots.
const (
	// waitBucketMS is the interval, in milliseconds, over which one quantile of
	// the wait is computed.
	waitBucketMS = 500
	// waitQuantile is the quantile of the wait that the plot shows.
	waitQuantile = 0.99
	// legendWidthShare is the space reserved for the legend, as a share of the
	// X range.
	legendWidthShare = 0.2
	// headroomShare is the space reserved above the lines, as a share of the Y
	// range.
	headroomShare = 0.05
	// minShownWaitMS is the smallest wait shown, in milliseconds. Smaller waits
	// are drawn at this value, because a logarithmic axis cannot show zero.
	minShownWaitMS = 1
)

// palette contains line colors that also differ in lightness.
var palette = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xd9, G: 0x5f, B: 0x02, A: 0xff},
	color.RGBA{R: 0x1b, G: 0x9e, B: 0x77, A: 0xff},
	color.RGBA{R: 0x75, G: 0x70, B: 0xb3, A: 0xff},
	color.RGBA{R: 0xe7, G: 0x29, B: 0x8a, A: 0xff},
	color.RGBA{R: 0x66, G: 0x66, B: 0x66, A: 0xff},
}

func newPlot(yLabel string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text = "seconds since the load began"
	p.X.Tick.Marker = integerTicks{}
	p.Y.Label.Text = yLabel
	p.Legend.Top = true
	p.Legend.Left = true
	p.Legend.XOffs = pictureWidth - legendWidth
	p.Legend.Padding = vg.Points(2)
	p.Add(plotter.NewGrid())
	return p
}

// integerTicks places about ten ticks, all at integers.
type integerTicks struct{}

// Ticks implements plot.Ticker. It returns the ticks between two values.
func (integerTicks) Ticks(low, high float64) []plot.Tick {
	step := max(math.Ceil((high-low)/12), 1)
	var ticks []plot.Tick
	for value := math.Ceil(low/step) * step; value <= high; value += step {
		ticks = append(ticks, plot.Tick{Value: value, Label: strconv.Itoa(int(value))})
	}
	return ticks
}

// reserveLegendSpace extends the axes so that the legend does not cover the
// lines.
func reserveLegendSpace(p *plot.Plot) {
	if p.X.Max <= p.X.Min {
		return
	}
	p.X.Max += legendWidthShare * (p.X.Max - p.X.Min)
	p.Y.Max += headroomShare * (p.Y.Max - p.Y.Min)
}

func addLine(p *plot.Plot, name string, index int, points plotter.XYs, dashed bool) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = palette[index%len(palette)]
	line.Width = vg.Points(1.6)
	if dashed {
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		line.Width = vg.Points(1)
	}
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
	return nil
}

// plotWaits plots the 99th percentile of the wait over time for each class of
// work.
func plotWaits(rec *demo.Recording) (picture, error) {
	p := newPlot("wait, milliseconds")
	classes := []struct {
		name    string
		matches func(demo.WaitSample) bool
	}{
		{"short work", func(w demo.WaitSample) bool { return !w.Long && !w.Urgent }},
		{"long work", func(w demo.WaitSample) bool { return w.Long }},
		{"urgent work", func(w demo.WaitSample) bool { return w.Urgent }},
	}
	for i, class := range classes {
		if err := addLine(p, class.name, i, waitQuantiles(rec.Waits, class.matches), false); err != nil {
			return picture{}, err
		}
	}
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Min = minShownWaitMS
	p.Y.Max = max(p.Y.Max, 10*minShownWaitMS)
	return render(p, "Waiting by class", "99th percentile of the time beyond the run time, by the half second in which the request was sent.")
}

// waitQuantiles returns one point per waitBucketMS, ordered by time: the quantile
// waitQuantile of the matching waits.
func waitQuantiles(waits []demo.WaitSample, matches func(demo.WaitSample) bool) plotter.XYs {
	buckets := map[int64][]float64{}
	for _, w := range waits {
		if matches(w) {
			bucket := w.AtMS / waitBucketMS
			buckets[bucket] = append(buckets[bucket], float64(w.WaitMS))
		}
	}
	var points plotter.XYs
	for bucket, values := range buckets {
		sort.Float64s(values)
		index := int(math.Ceil(waitQuantile*float64(len(values)))) - 1
		x := float64(bucket*waitBucketMS) / 1000
		points = append(points, plotter.XY{X: x, Y: max(values[index], minShownWaitMS)})
	}
	sort.Slice(points, func(i, j int) bool { return points[i].X < points[j].X })
	return points
}

// plotBusySlots plots the slots in use in each pool.
func plotBusySlots(rec *demo.Recording) (picture, error) {
	p := newPlot("slots in use")
	for i, name := range poolNames(rec) {
		points := poolSeries(rec, name, func(s demo.PoolSample) float64 { return float64(s.Busy) })
		if err := addLine(p, name, i, points, false); err != nil {
			return picture{}, err
		}
	}
	return render(p, "Work in progress by pool", "Slots in use on the pool's workers, counted by the backend servers.")
}

// plotAvailableWorkers plots the available workers of each pool and the minimum
// that its budgets require.
func plotAvailableWorkers(rec *demo.Recording) (picture, error) {
	p := newPlot("workers")
	for i, name := range poolNames(rec) {
		available := poolSeries(rec, name, func(s demo.PoolSample) float64 { return float64(s.Available) })
		if err := addLine(p, name, i, available, false); err != nil {
			return picture{}, err
		}
		bound := poolSeries(rec, name, func(s demo.PoolSample) float64 { return float64(s.MinAvailable) })
		if err := addLine(p, "", i, bound, true); err != nil {
			return picture{}, err
		}
	}
	p.Y.Min = 0
	return render(p, "Available workers against the budgets", "Full lines: workers that can take work. Dashed: the least that the pool's budgets allow.")
}

// plotWaveProgress plots the number of VMs that the rollout wave has completed.
func plotWaveProgress(rec *demo.Recording) (picture, error) {
	p := newPlot("VMs")
	var done, total plotter.XYs
	for _, s := range rec.Samples {
		x := float64(s.AtMS) / 1000
		done = append(done, plotter.XY{X: x, Y: float64(s.WaveDone)})
		total = append(total, plotter.XY{X: x, Y: float64(s.WaveTotal)})
	}
	if err := addLine(p, "done", 0, done, false); err != nil {
		return picture{}, err
	}
	if err := addLine(p, "in the wave", 1, total, true); err != nil {
		return picture{}, err
	}
	p.Y.Min = 0
	return render(p, "Progress of the wave", "VMs that came back on the wave's image and passed probation.")
}

// poolSeries returns the values of one pool over time, in seconds.
func poolSeries(rec *demo.Recording, pool string, value func(demo.PoolSample) float64) plotter.XYs {
	var points plotter.XYs
	for _, sample := range rec.Samples {
		for _, s := range sample.Pools {
			if s.Pool == pool {
				points = append(points, plotter.XY{X: float64(sample.AtMS) / 1000, Y: value(s)})
			}
		}
	}
	return points
}

func poolNames(rec *demo.Recording) []string {
	if len(rec.Samples) == 0 {
		return nil
	}
	var names []string
	for _, s := range rec.Samples[0].Pools {
		names = append(names, s.Pool)
	}
	return names
}
