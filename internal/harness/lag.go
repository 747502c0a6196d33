package harness

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Lag is the distribution of the harness's own delays, in milliseconds. The results of a run are only reliable if the
// harness was on time.
type Lag struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// newLagHistogram returns a histogram with a range of 1 µs to 60 s, in microseconds.
func newLagHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// recordLag records a lag. Values outside the histogram's range are clamped to it.
func recordLag(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), 1), 59_999_999)) // cannot fail: the value is in range
}

// summarizeLag returns the count, quantiles and maximum of a histogram.
func summarizeLag(h *hdrhistogram.Histogram) Lag {
	ms := func(v int64) float64 { return float64(v) / 1000 }
	return Lag{h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max())}
}
