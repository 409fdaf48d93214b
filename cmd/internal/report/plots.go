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

// Figures of the waiting plot.
const (
	// bucketMS is the span over which waits are summed up.
	bucketMS = 500
	// quantile is the quantile shown.
	quantile = 0.99
	// legendShare is the width kept free for the legend.
	legendShare = 0.2
	// headShare is the height kept free above the lines.
	headShare = 0.05
	// leastShownMS keeps the logarithmic axis finite.
	leastShownMS = 1
)

// palette holds colours that differ in lightness too.
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
	p.X.Tick.Marker = wholeTicks{}
	p.Y.Label.Text = yLabel
	p.Legend.Top = true
	p.Legend.Left = true
	p.Legend.XOffs = pictureWidth - legendWidth
	p.Legend.Padding = vg.Points(2)
	p.Add(plotter.NewGrid())
	return p
}

// wholeTicks marks whole numbers, about ten of them.
type wholeTicks struct{}

// Ticks returns the marks between two values.
func (wholeTicks) Ticks(low, high float64) []plot.Tick {
	step := max(math.Ceil((high-low)/12), 1)
	var ticks []plot.Tick
	for value := math.Ceil(low/step) * step; value <= high; value += step {
		ticks = append(ticks, plot.Tick{Value: value, Label: strconv.Itoa(int(value))})
	}
	return ticks
}

// makeRoom widens the plot so that the legend stands beside the lines.
func makeRoom(p *plot.Plot) {
	if p.X.Max <= p.X.Min {
		return
	}
	p.X.Max += legendShare * (p.X.Max - p.X.Min)
	p.Y.Max += headShare * (p.Y.Max - p.Y.Min)
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

// waiting draws the 99th percentile of the wait by class over time.
func waiting(rec *demo.Recording) (picture, error) {
	p := newPlot("wait, milliseconds")
	classes := []struct {
		name string
		in   func(demo.WaitSample) bool
	}{
		{"short work", func(w demo.WaitSample) bool { return !w.Long && !w.Urgent }},
		{"long work", func(w demo.WaitSample) bool { return w.Long }},
		{"urgent work", func(w demo.WaitSample) bool { return w.Urgent }},
	}
	for i, class := range classes {
		if err := addLine(p, class.name, i, quantiles(rec.Waits, class.in), false); err != nil {
			return picture{}, err
		}
	}
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Min = leastShownMS
	p.Y.Max = max(p.Y.Max, 10*leastShownMS)
	return render(p, "Waiting by class", "99th percentile of the time beyond the run time, by the half second in which the request was sent.")
}

func quantiles(waits []demo.WaitSample, in func(demo.WaitSample) bool) plotter.XYs {
	buckets := map[int64][]float64{}
	for _, w := range waits {
		if in(w) {
			bucket := w.AtMS / bucketMS
			buckets[bucket] = append(buckets[bucket], float64(w.WaitMS))
		}
	}
	var points plotter.XYs
	for bucket, values := range buckets {
		sort.Float64s(values)
		index := int(math.Ceil(quantile*float64(len(values)))) - 1
		x := float64(bucket*bucketMS) / 1000
		points = append(points, plotter.XY{X: x, Y: max(values[index], leastShownMS)})
	}
	sort.Slice(points, func(i, j int) bool { return points[i].X < points[j].X })
	return points
}

// inUse draws the busy slots of each pool.
func inUse(rec *demo.Recording) (picture, error) {
	p := newPlot("slots in use")
	for i, name := range poolNames(rec) {
		points := series(rec, name, func(s demo.PoolSample) float64 { return float64(s.Busy) })
		if err := addLine(p, name, i, points, false); err != nil {
			return picture{}, err
		}
	}
	return render(p, "Work in progress by pool", "Slots in use on the pool's workers, counted by the backend servers.")
}

// buffer draws the available workers of each pool against its budgets.
func buffer(rec *demo.Recording) (picture, error) {
	p := newPlot("workers")
	for i, name := range poolNames(rec) {
		available := series(rec, name, func(s demo.PoolSample) float64 { return float64(s.Available) })
		if err := addLine(p, name, i, available, false); err != nil {
			return picture{}, err
		}
		bound := series(rec, name, func(s demo.PoolSample) float64 { return float64(s.Bound) })
		if err := addLine(p, "", i, bound, true); err != nil {
			return picture{}, err
		}
	}
	p.Y.Min = 0
	return render(p, "Available workers against the budgets", "Full lines: workers that can take work. Dashed: the least that the pool's budgets allow.")
}

// wave draws how many VMs the wave has done.
func wave(rec *demo.Recording) (picture, error) {
	p := newPlot("VMs")
	var done, all plotter.XYs
	for _, s := range rec.Samples {
		x := float64(s.AtMS) / 1000
		done = append(done, plotter.XY{X: x, Y: float64(s.WaveDone)})
		all = append(all, plotter.XY{X: x, Y: float64(s.WaveAll)})
	}
	if err := addLine(p, "done", 0, done, false); err != nil {
		return picture{}, err
	}
	if err := addLine(p, "in the wave", 1, all, true); err != nil {
		return picture{}, err
	}
	p.Y.Min = 0
	return render(p, "Progress of the wave", "VMs that came back on the wave's image and passed probation.")
}

func series(rec *demo.Recording, pool string, pick func(demo.PoolSample) float64) plotter.XYs {
	var points plotter.XYs
	for _, sample := range rec.Samples {
		for _, s := range sample.Pools {
			if s.Pool == pool {
				points = append(points, plotter.XY{X: float64(sample.AtMS) / 1000, Y: pick(s)})
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
