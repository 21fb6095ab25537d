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

// Plot draws each sweep: points measured, a line for the fit.
func Plot(s FitSettings) error {
	ss, err := ReadSamples(filepath.Join(s.Dir, "samples.jsonl"))
	if err != nil {
		return err
	}
	ls, err := fitAll(ss)
	if err != nil {
		return err
	}
	for _, w := range sweeps {
		var in []*Sample
		for _, x := range ss {
			if strings.HasPrefix(x.Label, w.prefix+"-") || x.Label == "base" && w.prefix != "all" {
				in = append(in, x)
			}
		}
		sort.Slice(in, func(i, j int) bool { return w.of(in[i].Drivers) < w.of(in[j].Drivers) })
		if len(in) > 1 {
			if err := w.draw(s.Dir, in, ls); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w sweep) draw(dir string, in []*Sample, ls map[string]Fitted) error {
	const cols, rows = 3, 2
	ps := make([][]*plot.Plot, rows)
	for i := range ps {
		ps[i] = make([]*plot.Plot, cols)
	}
	for i, n := range plottedMetrics {
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.X.Min, p.Y.Min = n, w.axis, 0, 0
		var m metric
		for _, x := range fittedMetrics {
			if x.name == n {
				m = x
			}
		}
		p.Y.Label.Text = m.unit
		var got, fit plotter.XYs
		for _, s := range in {
			x := w.of(s.Drivers)
			got = append(got, plotter.XY{X: x, Y: s.Figures[n]})
			fit = append(fit, plotter.XY{X: x, Y: m.at(ls[n], s.Drivers)})
		}
		sc, err := plotter.NewScatter(got)
		if err != nil {
			return trace.Wrap(err)
		}
		sc.Shape, sc.Color = draw.CircleGlyph{}, color.RGBA{R: 90, G: 30, B: 140, A: 255}
		l, err := plotter.NewLine(fit)
		if err != nil {
			return trace.Wrap(err)
		}
		p.Add(plotter.NewGrid(), l, sc)
		ps[i/cols][i%cols] = p
	}
	return writePNG(filepath.Join(dir, w.prefix+".png"), ps)
}

func writePNG(path string, ps [][]*plot.Plot) error {
	c := newCanvas(36*vg.Centimeter, 20*vg.Centimeter)
	t := draw.Tiles{Rows: len(ps), Cols: len(ps[0]), PadX: 4 * vg.Millimeter, PadY: 4 * vg.Millimeter,
		PadTop: 2 * vg.Millimeter, PadBottom: 2 * vg.Millimeter, PadLeft: 2 * vg.Millimeter, PadRight: 6 * vg.Millimeter}
	for i, r := range plot.Align(ps, t, draw.New(c)) {
		for j, x := range r {
			ps[i][j].Draw(x)
		}
	}
	return c.save(path)
}
