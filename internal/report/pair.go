package report

import (
	"errors"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Difference is the result of a paired comparison of two variants, A and B.
type Difference struct {
	Pairs      int     `json:"pairs"`
	A          float64 `json:"a"`        // mean of A
	B          float64 `json:"b"`        // mean of B
	Mean       float64 `json:"mean"`     // mean of the differences B - A
	Low        float64 `json:"low"`      // lower bound of the 95% confidence interval of Mean
	High       float64 `json:"high"`     // upper bound
	Noise      bool    `json:"noise"`    // the confidence interval contains 0
	Detectable float64 `json:"smallest"` // half the width of the interval: smaller differences cannot be detected
}

// Pair compares two variants, which were run with the same seeds, by a paired t-test. It needs at least two pairs.
func Pair(a, b []float64) (Difference, error) {
	if len(a) != len(b) || len(a) < 2 {
		return Difference{}, errors.New("compare: need at least two pairs of equal length")
	}
	diffs := make([]float64, len(a))
	for i := range a {
		diffs[i] = b[i] - a[i]
	}
	d := Difference{Pairs: len(a), A: stat.Mean(a, nil), B: stat.Mean(b, nil)}
	var stdDev float64
	d.Mean, stdDev = stat.MeanStdDev(diffs, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(diffs) - 1)}.Quantile(0.975)
	d.Detectable = t * stdDev / math.Sqrt(float64(len(diffs)))
	d.Low, d.High = d.Mean-d.Detectable, d.Mean+d.Detectable
	d.Noise = d.Low <= 0 && d.High >= 0
	return d, nil
}
