package main

import (
	"context"
	"encoding/json"
	"io"
	"os/signal"
	"syscall"
)

// jsonFlag is embedded in all commands that can write JSON instead of text.
type jsonFlag struct {
	JSON bool `help:"JSON instead of text." name:"json"`
}

// writeJSON writes a value as indented JSON.
func writeJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// interruptible returns a context that is canceled by SIGINT or SIGTERM. The caller must call stop to restore the
// default handling of these signals.
func interruptible() (ctx context.Context, stop context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
