package protocol

import (
	"strconv"
	"time"
)

// formatSeconds formats a duration for a header, in seconds with three decimals. Negative durations become 0.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(max(0, d.Seconds()), 'f', 3, 64)
}

// parseSeconds parses a header value in seconds. It accepts only digits and a decimal point.
func parseSeconds(s string) (time.Duration, bool) {
	for _, c := range s {
		if (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(v, 1e9) * float64(time.Second)), true
}
