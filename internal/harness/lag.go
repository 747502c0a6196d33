package harness

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Lag is how late the rig was itself, in milliseconds.
type Lag struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// newLagHistogram measures from 1 µs to 60 s.
func newLagHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func recordLag(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), 1), 59_999_999)) // fails only out of range
}

func summarizeLag(h *hdrhistogram.Histogram) Lag {
	ms := func(v int64) float64 { return float64(v) / 1000 }
	return Lag{h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max())}
}
