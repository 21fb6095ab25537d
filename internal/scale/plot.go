package scale

import (
	"image/color"
	"path/filepath"
	"sort"
	"strings"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// sweep is a set of runs in which one driver was varied.
type sweep struct {
	prefix, axis string
	of           func(Drivers) float64
}

var sweeps = []sweep{
	{"proxies", "proxies", func(d Drivers) float64 { return d.Proxies }},
	{"engines", "engines", func(d Drivers) float64 { return d.Engines }},
	{"events", "cache events a second", func(d Drivers) float64 { return d.Events }},
	{"blocks", "kept blocks", func(d Drivers) float64 { return d.Blocks }},
	{"tenants", "tenants", func(d Drivers) float64 { return d.Tenants }},
	{"all", "proxies, all else in step", func(d Drivers) float64 { return d.Proxies }},
}

var plottedMetrics = []string{"control.cpu_us_s", "control.peak_mb", "control.out_bytes_s", "front.cpu_us_s", "front.in_bytes_s", "front.peak_mb"}

// Colour of the measured points.
var pointColor = color.RGBA{R: 90, G: 30, B: 140, A: 255}

// Plots in a picture.
const (
	plotColumns = 3
	plotRows    = 2
)

// baseLabel is the run that belongs to every sweep of one driver.
const baseLabel = "base"

// Plot draws each sweep of at least two runs: points measured, a line for the fit.
func Plot(s FitSettings) error {
	samples, err := ReadSamples(filepath.Join(s.Dir, samplesFile))
	if err != nil {
		return err
	}
	fits, err := fitAll(samples)
	if err != nil {
		return err
	}
	for _, sweep := range sweeps {
		runs := sweep.runs(samples)
		if len(runs) < 2 {
			continue
		}
		if err := sweep.draw(s.Dir, runs, fits); err != nil {
			return err
		}
	}
	return nil
}

// runs are the sweep's runs, by the driver that was varied.
func (s sweep) runs(samples []*Sample) (runs []*Sample) {
	for _, sample := range samples {
		if strings.HasPrefix(sample.Label, s.prefix+"-") || sample.Label == baseLabel && s.prefix != "all" {
			runs = append(runs, sample)
		}
	}
	sort.Slice(runs, func(i, j int) bool { return s.of(runs[i].Drivers) < s.of(runs[j].Drivers) })
	return runs
}

// draw writes a picture with a plot for each metric.
func (s sweep) draw(dir string, runs []*Sample, fits map[string]Fitted) error {
	plots := make([][]*plot.Plot, plotRows)
	for i := range plots {
		plots[i] = make([]*plot.Plot, plotColumns)
	}
	for i, name := range plottedMetrics {
		drawn, err := s.plot(metricNamed(name), runs, fits[name])
		if err != nil {
			return err
		}
		plots[i/plotColumns][i%plotColumns] = drawn
	}
	return writePNG(filepath.Join(dir, s.prefix+".png"), plots)
}

// plot draws one metric.
func (s sweep) plot(m metric, runs []*Sample, fit Fitted) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = m.name, s.axis, m.unit
	p.X.Min, p.Y.Min = 0, 0
	var measured, fitted plotter.XYs
	for _, run := range runs {
		x := s.of(run.Drivers)
		measured = append(measured, plotter.XY{X: x, Y: run.Figures[m.name]})
		fitted = append(fitted, plotter.XY{X: x, Y: m.at(fit, run.Drivers)})
	}
	points, err := plotter.NewScatter(measured)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	points.Shape, points.Color = draw.CircleGlyph{}, pointColor
	line, err := plotter.NewLine(fitted)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.Add(plotter.NewGrid(), line, points)
	return p, nil
}

// metricNamed is the fitted metric of a name; without features if there is none.
func metricNamed(name string) metric {
	for _, m := range fittedMetrics {
		if m.name == name {
			return m
		}
	}
	return metric{name: name}
}

func writePNG(path string, plots [][]*plot.Plot) error {
	canvas := newCanvas(36*vg.Centimeter, 20*vg.Centimeter)
	tiles := draw.Tiles{
		Rows:      len(plots),
		Cols:      len(plots[0]),
		PadX:      4 * vg.Millimeter,
		PadY:      4 * vg.Millimeter,
		PadTop:    2 * vg.Millimeter,
		PadBottom: 2 * vg.Millimeter,
		PadLeft:   2 * vg.Millimeter,
		PadRight:  6 * vg.Millimeter,
	}
	for i, row := range plot.Align(plots, tiles, draw.New(canvas)) {
		for j, tile := range row {
			plots[i][j].Draw(tile)
		}
	}
	return canvas.save(path)
}
