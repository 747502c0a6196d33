package report

import (
	"errors"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Difference is what paired runs say of two sides.
type Difference struct {
	Pairs    int     `json:"pairs"`
	A        float64 `json:"a"` // means
	B        float64 `json:"b"`
	Mean     float64 `json:"mean"` // of B less A
	Low      float64 `json:"low"`  // the interval that holds the true mean in 95 of 100 such comparisons
	High     float64 `json:"high"`
	Noise    bool    `json:"noise"`    // 0 lies within it
	Smallest float64 `json:"smallest"` // a difference of less would have gone unseen
}

// Pair compares two sides over the same seeds by Student's t on the differences.
func Pair(a, b []float64) (Difference, error) {
	if len(a) != len(b) || len(a) < 2 {
		return Difference{}, errors.New("compare: two pairs at the least")
	}
	diffs := make([]float64, len(a))
	for i := range a {
		diffs[i] = b[i] - a[i]
	}
	d := Difference{Pairs: len(a), A: stat.Mean(a, nil), B: stat.Mean(b, nil)}
	var spread float64
	d.Mean, spread = stat.MeanStdDev(diffs, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(diffs) - 1)}.Quantile(0.975)
	d.Smallest = t * spread / math.Sqrt(float64(len(diffs)))
	d.Low, d.High = d.Mean-d.Smallest, d.Mean+d.Smallest
	d.Noise = d.Low <= 0 && d.High >= 0
	return d, nil
}
