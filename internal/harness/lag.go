package harness

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Lag is how late the harness itself was, in milliseconds: what a run shows is only as good as its harness was
// punctual.
type Lag struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// newLagHistogram returns a histogram of 1 µs to 60 s, in µs.
func newLagHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// recordLag adds a lag; one outside the histogram's range counts as its nearest bound.
func recordLag(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), 1), 59_999_999)) // no error: it is in range
}

// summarizeLag returns the quantiles of a histogram.
func summarizeLag(h *hdrhistogram.Histogram) Lag {
	ms := func(v int64) float64 { return float64(v) / 1000 }
	return Lag{h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max())}
}
