package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"

	"github.com/gravitational/trace"
	"gonum.org/v1/gonum/mat"
)

// FitSettings tell where samples are and where fits go.
type FitSettings struct {
	Dir string `json:"dir" validate:"required" help:"folder of samples.jsonl, fit.json and the plots"`
	Top string `json:"top" validate:"required" help:"file with the drivers of the sizes to predict"`
}

// FitDefaults are where the page's own are.
func FitDefaults() FitSettings {
	return FitSettings{Dir: "docs/capacity", Top: "docs/capacity/sizes.json"}
}

// Line is what a least squares fit found: y = sum of Slope times feature.
type Fitted struct {
	Features []string  `json:"features"`
	Slope    []float64 `json:"slope"`
	Error    []float64 `json:"standard_error"` // of each slope
	RSquared float64   `json:"r2"`
	Residual float64   `json:"residual"` // root of the mean square, in y's unit
	Runs     int       `json:"runs"`
	LeftOut  []string  `json:"left_out"` // features with a slope below nothing, fitted without
}

// Fit finds the slopes of features xs (one row a run) to ys. Costs don't fall with
// size: a feature whose slope would be negative is left out, the worst first.
func FitLine(names []string, xs [][]float64, ys []float64) (Fitted, error) {
	use := make([]int, len(names))
	for i := range use {
		use[i] = i
	}
	l := Fitted{Runs: len(ys)}
	for {
		if len(ys) <= len(use) {
			return l, trace.BadParameter("%d runs can't tell %d slopes apart; run more sizes", len(ys), len(use))
		}
		b, se, err := leastSquares(columns(xs, use), ys)
		if err != nil {
			return l, err
		}
		worst := -1
		for i, v := range b {
			if use[i] != 0 && v < 0 && (worst < 0 || v/se[i] < b[worst]/se[worst]) {
				worst = i
			}
		}
		if worst >= 0 {
			l.LeftOut = append(l.LeftOut, names[use[worst]])
			use = slices.Delete(use, worst, worst+1)
			continue
		}
		l.Slope, l.Error = b, se
		for _, i := range use {
			l.Features = append(l.Features, names[i])
		}
		l.RSquared, l.Residual = quality(columns(xs, use), b, ys)
		return l, nil
	}
}

func columns(xs [][]float64, use []int) (out [][]float64) {
	for _, x := range xs {
		var r []float64
		for _, i := range use {
			r = append(r, x[i])
		}
		out = append(out, r)
	}
	return out
}

// squares solves by QR on columns scaled to one size; standard errors come from the
// diagonal of the inverse normal matrix.
func leastSquares(xs [][]float64, ys []float64) (b, se []float64, err error) {
	n, k := len(xs), len(xs[0])
	scale := make([]float64, k)
	for _, x := range xs {
		for j, v := range x {
			scale[j] = max(scale[j], math.Abs(v))
		}
	}
	for j := range scale {
		if scale[j] == 0 {
			scale[j] = 1
		}
	}
	a := mat.NewDense(n, k, nil)
	for i, x := range xs {
		for j, v := range x {
			a.Set(i, j, v/scale[j])
		}
	}
	var qr mat.QR
	qr.Factorize(a)
	var w mat.VecDense
	if err := qr.SolveVecTo(&w, false, mat.NewVecDense(n, slices.Clone(ys))); err != nil {
		return nil, nil, trace.BadParameter("the runs don't tell the slopes apart (%v); vary one driver at a time", err)
	}
	var res mat.VecDense
	res.MulVec(a, &w)
	ss := 0.0
	for i, y := range ys {
		ss += (y - res.AtVec(i)) * (y - res.AtVec(i))
	}
	var ata, inv mat.Dense
	ata.Mul(a.T(), a)
	if err := inv.Inverse(&ata); err != nil {
		return nil, nil, trace.BadParameter("the runs don't tell the slopes apart (%v); vary one driver at a time", err)
	}
	for j := range k {
		b = append(b, w.AtVec(j)/scale[j])
		se = append(se, math.Sqrt(max(0, ss/float64(n-k)*inv.At(j, j)))/scale[j])
	}
	return b, se, nil
}

func quality(xs [][]float64, b, ys []float64) (r2, rms float64) {
	mean, ss, tot := 0.0, 0.0, 0.0
	for _, y := range ys {
		mean += y / float64(len(ys))
	}
	for i, y := range ys {
		v := 0.0
		for j, x := range xs[i] {
			v += b[j] * x
		}
		ss += (y - v) * (y - v)
		tot += (y - mean) * (y - mean)
	}
	if tot == 0 {
		return 1, math.Sqrt(ss / float64(len(ys)))
	}
	return 1 - ss/tot, math.Sqrt(ss / float64(len(ys)))
}

// At is the fit's value at drivers d.
func (m metric) at(l Fitted, d Drivers) (y float64) {
	for i, n := range l.Features {
		y += l.Slope[i] * m.feature(n).of(d)
	}
	return y
}

func (m metric) feature(n string) feature {
	for _, f := range m.features {
		if f.name == n {
			return f
		}
	}
	return feature{n, func(Drivers) float64 { return 0 }}
}

// Fits are the lines of all costs, and what they predict for named sizes.
type Fits struct {
	Lines   map[string]Fitted             `json:"lines"`
	Sizes   map[string]Drivers            `json:"sizes"`
	Predict map[string]map[string]float64 `json:"predict"` // size, cost
}

func fitAll(ss []*Sample) (map[string]Fitted, error) {
	out := map[string]Fitted{}
	for _, m := range fittedMetrics {
		var names []string
		for _, f := range m.features {
			names = append(names, f.name)
		}
		var xs [][]float64
		var ys []float64
		for _, s := range ss {
			y, ok := s.Figures[m.name]
			if !ok || s.Role != "design" && s.Role != "diagonal" {
				continue
			}
			var x []float64
			for _, f := range m.features {
				x = append(x, f.of(s.Drivers))
			}
			xs, ys = append(xs, x), append(ys, y)
		}
		l, err := FitLine(names, xs, ys)
		if err != nil {
			return nil, trace.Wrap(err, "%s", m.name)
		}
		out[m.name] = l
	}
	return out, nil
}

// FitRuns fits what is in the folder and writes fit.json, predictions with it.
func FitRuns(s FitSettings, w io.Writer) error {
	ss, err := ReadSamples(filepath.Join(s.Dir, "samples.jsonl"))
	if err != nil {
		return err
	}
	f := Fits{Predict: map[string]map[string]float64{}, Sizes: map[string]Drivers{}}
	b, err := os.ReadFile(s.Top)
	if err != nil {
		return trace.BadParameter("%v; give --top a file of sizes to predict", err)
	}
	if err := json.Unmarshal(b, &f.Sizes); err != nil {
		return trace.BadParameter("%s: %v; compare with docs/capacity/sizes.json", s.Top, err)
	}
	if f.Lines, err = fitAll(ss); err != nil {
		return err
	}
	for n, d := range f.Sizes {
		f.Predict[n] = map[string]float64{}
		if d.ConfigBytes == 0 {
			d.ConfigBytes = fittedMetrics[0].at(f.Lines[configSizeMetric], d)
			f.Sizes[n] = d
		}
		for _, m := range fittedMetrics {
			f.Predict[n][m.name] = m.at(f.Lines[m.name], d)
		}
	}
	for _, m := range fittedMetrics {
		l := f.Lines[m.name]
		fmt.Fprintf(w, "%s (%s), %d runs, R2 %.3f, residual %.3g\n", m.name, m.unit, l.Runs, l.RSquared, l.Residual)
		for i, n := range l.Features {
			fmt.Fprintf(w, "    %-48s %12.4g +- %-8.2g", n, l.Slope[i], l.Error[i])
			for _, z := range sortedKeys(f.Sizes) {
				fmt.Fprintf(w, " %s %.4g", z, l.Slope[i]*m.feature(n).of(f.Sizes[z]))
			}
			fmt.Fprintln(w)
		}
		if len(l.LeftOut) > 0 {
			fmt.Fprintf(w, "    left out: %s\n", strings.Join(l.LeftOut, ", "))
		}
		ns := sortedKeys(f.Sizes)
		for _, n := range ns {
			fmt.Fprintf(w, "    at %-10s %14.5g\n", n, f.Predict[n][m.name])
		}
	}
	b, err = json.MarshalIndent(f, "", " ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(os.WriteFile(filepath.Join(s.Dir, "fit.json"), append(b, '\n'), 0o644))
}

func sortedKeys[V any](m map[string]V) (out []string) {
	for n := range m {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// Compare sets what fit.json predicted for the held-out size beside what was measured.
func Compare(s FitSettings, w io.Writer) error {
	b, err := os.ReadFile(filepath.Join(s.Dir, "fit.json"))
	if err != nil {
		return trace.BadParameter("%v; run scale fit first", err)
	}
	f := Fits{}
	if err := json.Unmarshal(b, &f); err != nil {
		return trace.Wrap(err, "fit.json is damaged; run scale fit again")
	}
	ss, err := ReadSamples(filepath.Join(s.Dir, "samples.jsonl"))
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "| held out | cost | predicted | measured | error |\n|---|---|---|---|---|\n")
	for _, x := range ss {
		p, ok := f.Predict[x.Label]
		if x.Role != "held-out" || !ok {
			continue
		}
		for _, m := range fittedMetrics {
			if y, ok := x.Figures[m.name]; ok {
				fmt.Fprintf(w, "| %s | %s (%s) | %.4g | %.4g | %+.0f%% |\n", x.Label, m.name, m.unit, p[m.name], y, 100*(p[m.name]-y)/y)
			}
		}
	}
	return nil
}

// Print writes a sample's figures.
func (s *Sample) Print(w io.Writer) {
	fmt.Fprintf(w, "%s: proxies=%.0f engines=%.0f events=%.0f blocks=%.0f tenants=%.0f under_way=%.0f config_bytes=%.0f\n", s.Label, s.Drivers.Proxies,
		s.Drivers.Engines, s.Drivers.Events, s.Drivers.Blocks, s.Drivers.Tenants, s.Drivers.UnderWay, s.Drivers.ConfigBytes)
	for _, n := range sortedKeys(s.Figures) {
		fmt.Fprintf(w, "    %-30s %12.5g\n", n, s.Figures[n])
	}
}
