package main

import (
	"flag"
	"fmt"
	"sync/atomic"
	"testing"
)

// everyByte has a hand-over cut at each byte, and not only at some of the state's.
var everyByte = flag.Bool("every-byte", false, "cut a hand-over at each byte of the state, too")

// TestHandoverCutAtEachByte cuts the connection of two processes of a sender at each byte of a hand-over, while both
// live. As long as the state is incomplete the predecessor serves on. From then on both may believe that they have it,
// and whichever locks the write-ahead log first does; the other finds it locked and ends. One of them serves in any
// case, nothing unsafe is sent twice, and what was in flight ends once: by its call's answer, or undeliverable where
// that could not be passed on.
func TestHandoverCutAtEachByte(t *testing.T) {
	t.Parallel()
	const shards = 6
	var passed [2]int
	t.Run("whole", func(t *testing.T) {
		chain := newHandoverChain(t)
		chain.start()
		var succeeded bool
		if passed, succeeded = chain.handOver(fromSuccessor, -1); !succeeded {
			t.Error("the successor did not take over")
		}
		chain.checkOutcomes(map[string]bool{"out-0.-1": false})
	})
	var cuts [][2]int
	for direction, size := range passed {
		for offset := range size {
			if direction == fromSuccessor || *everyByte || offset < 6 || offset > size-200 && offset%3 == 0 || offset%61 == 0 {
				cuts = append(cuts, [2]int{direction, offset})
			}
		}
	}
	var successors, predecessors atomic.Int64
	t.Run("cut", func(t *testing.T) {
		for i := range shards {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				chain := newHandoverChain(t)
				chain.start()
				succeededByID := map[string]bool{}
				for k := i; k < len(cuts); k += shards {
					_, succeeded := chain.handOver(cuts[k][0], cuts[k][1])
					if succeededByID[fmt.Sprintf("out-%d.%d", cuts[k][0], cuts[k][1])] = succeeded; succeeded {
						successors.Add(1)
					} else {
						predecessors.Add(1)
					}
				}
				chain.checkOutcomes(succeededByID)
			})
		}
	})
	t.Logf("the successor says %d bytes, the predecessor %d; %d cuts: %d successors and %d predecessors served",
		passed[fromSuccessor], passed[fromPredecessor], len(cuts), successors.Load(), predecessors.Load())
	if successors.Load() < 30 || predecessors.Load() < 30 {
		t.Errorf("%d successors and %d predecessors served", successors.Load(), predecessors.Load())
	}
}
