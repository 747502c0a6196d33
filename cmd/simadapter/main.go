// Command simadapter connects the decision module (package control) to the operators' simulator. It implements the
// simulator's protocol on standard input and output and runs one controller for each simulated sender. Package control
// makes all decisions.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run reads batches of events and writes a reply to each, until the input ends.
func run(in io.Reader, out io.Writer) error {
	h := newHost(in)
	for {
		batch, err := h.reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handleBatch(batch); err != nil {
			return err
		}
		if _, err := h.reply.WriteTo(out); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}
