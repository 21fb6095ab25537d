package scale

import (
	"math"
	"slices"

	"github.com/gravitational/trace"
	"gonum.org/v1/gonum/mat"
)

// Fitted is what a least squares fit found: y = sum of Slope times feature.
type Fitted struct {
	Features []string  `json:"features"`
	Slope    []float64 `json:"slope"`
	Error    []float64 `json:"standard_error"` // of each slope
	RSquared float64   `json:"r2"`
	Residual float64   `json:"residual"` // root of the mean square, in y's unit
	Runs     int       `json:"runs"`
	LeftOut  []string  `json:"left_out"` // features whose slope would be negative, fitted without
}

// FitLine finds the slopes of features xs (one row a run) to ys. Costs don't fall with
// size: a feature whose slope would be negative is left out, the worst first.
func FitLine(names []string, xs [][]float64, ys []float64) (Fitted, error) {
	use := make([]int, len(names))
	for i := range use {
		use[i] = i
	}
	fitted := Fitted{Runs: len(ys)}
	for {
		if len(ys) <= len(use) {
			return fitted, trace.BadParameter("%d runs can't tell %d slopes apart; run more sizes", len(ys), len(use))
		}
		slopes, errors, err := leastSquares(columns(xs, use), ys)
		if err != nil {
			return fitted, err
		}
		worst := -1
		for i, slope := range slopes {
			if use[i] != 0 && slope < 0 && (worst < 0 || slope/errors[i] < slopes[worst]/errors[worst]) {
				worst = i
			}
		}
		if worst >= 0 {
			fitted.LeftOut = append(fitted.LeftOut, names[use[worst]])
			use = slices.Delete(use, worst, worst+1)
			continue
		}
		fitted.Slope, fitted.Error = slopes, errors
		for _, i := range use {
			fitted.Features = append(fitted.Features, names[i])
		}
		fitted.RSquared, fitted.Residual = quality(columns(xs, use), slopes, ys)
		return fitted, nil
	}
}

// columns are the columns use of the rows xs.
func columns(xs [][]float64, use []int) (rows [][]float64) {
	for _, x := range xs {
		var row []float64
		for _, i := range use {
			row = append(row, x[i])
		}
		rows = append(rows, row)
	}
	return rows
}

// leastSquares solves by QR on columns scaled to one size; standard errors come from the
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

// quality is the fit's R squared, and the root of the mean square of its residuals.
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
