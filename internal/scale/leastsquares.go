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
// size: a feature whose slope would be negative is left out, the worst first. The first
// feature, the constant, may have a negative one. It fails when the runs can't tell the slopes
// apart.
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
		rows := columns(xs, use)
		slopes, errors, err := leastSquares(rows, ys)
		if err != nil {
			return fitted, err
		}
		if worst := mostNegative(use, slopes, errors); worst >= 0 {
			fitted.LeftOut = append(fitted.LeftOut, names[use[worst]])
			use = slices.Delete(use, worst, worst+1)
			continue
		}
		fitted.Slope, fitted.Error = slopes, errors
		for _, i := range use {
			fitted.Features = append(fitted.Features, names[i])
		}
		fitted.RSquared, fitted.Residual = quality(rows, slopes, ys)
		return fitted, nil
	}
}

// mostNegative is the index of the slope that lies furthest below zero, by its standard error;
// -1 if none does. The first feature is passed over.
func mostNegative(use []int, slopes, errors []float64) int {
	worst := -1
	for i, slope := range slopes {
		if use[i] != 0 && slope < 0 && (worst < 0 || slope/errors[i] < slopes[worst]/errors[worst]) {
			worst = i
		}
	}
	return worst
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

// columnScales are the largest magnitudes of the columns, 1 for a column of zeros.
func columnScales(xs [][]float64) []float64 {
	scales := make([]float64, len(xs[0]))
	for _, x := range xs {
		for j, value := range x {
			scales[j] = max(scales[j], math.Abs(value))
		}
	}
	for j := range scales {
		if scales[j] == 0 {
			scales[j] = 1
		}
	}
	return scales
}

// leastSquares solves by QR on columns scaled to one size; standard errors come from the
// diagonal of the inverse normal matrix.
func leastSquares(xs [][]float64, ys []float64) (slopes, errors []float64, err error) {
	rows, features := len(xs), len(xs[0])
	scales := columnScales(xs)
	design := mat.NewDense(rows, features, nil)
	for i, x := range xs {
		for j, value := range x {
			design.Set(i, j, value/scales[j])
		}
	}
	var qr mat.QR
	qr.Factorize(design)
	var solution mat.VecDense
	if err := qr.SolveVecTo(&solution, false, mat.NewVecDense(rows, slices.Clone(ys))); err != nil {
		return nil, nil, inseparable(err)
	}
	var normal, inverse mat.Dense
	normal.Mul(design.T(), design)
	if err := inverse.Inverse(&normal); err != nil {
		return nil, nil, inseparable(err)
	}
	variance := squaredResiduals(design, &solution, ys) / float64(rows-features)
	for j := range features {
		slopes = append(slopes, solution.AtVec(j)/scales[j])
		errors = append(errors, math.Sqrt(max(0, variance*inverse.At(j, j)))/scales[j])
	}
	return slopes, errors, nil
}

func inseparable(err error) error {
	return trace.BadParameter("the runs don't tell the slopes apart (%v); vary one driver at a time", err)
}

func squaredResiduals(design *mat.Dense, solution *mat.VecDense, ys []float64) (sum float64) {
	var fitted mat.VecDense
	fitted.MulVec(design, solution)
	for i, y := range ys {
		sum += (y - fitted.AtVec(i)) * (y - fitted.AtVec(i))
	}
	return sum
}

// quality is the fit's R squared, and the root of the mean square of its residuals.
func quality(xs [][]float64, slopes, ys []float64) (rSquared, residual float64) {
	mean, unexplained, total := 0.0, 0.0, 0.0
	for _, y := range ys {
		mean += y / float64(len(ys))
	}
	for i, y := range ys {
		fitted := 0.0
		for j, x := range xs[i] {
			fitted += slopes[j] * x
		}
		unexplained += (y - fitted) * (y - fitted)
		total += (y - mean) * (y - mean)
	}
	residual = math.Sqrt(unexplained / float64(len(ys)))
	if total == 0 {
		return 1, residual
	}
	return 1 - unexplained/total, residual
}
