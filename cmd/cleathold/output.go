package main

import (
	"context"
	"encoding/json"
	"io"
	"os/signal"
	"syscall"
)

// jsonFlag is the flag of all commands that can write JSON in place of text.
type jsonFlag struct {
	JSON bool `help:"JSON instead of text." name:"json"`
}

// writeJSON writes a value as indented JSON.
func writeJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// interruptible returns a context that ends with SIGINT or SIGTERM. The caller calls stop, which restores the signals'
// default effect.
func interruptible() (ctx context.Context, stop context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
