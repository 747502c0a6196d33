package main

import (
	"flag"
	"fmt"
	"sync/atomic"
	"testing"
)

// everyByte makes the test cut the hand-over at each byte of the state, not only at some of them.
var everyByte = flag.Bool("every-byte", false, "cut a hand-over at each byte of the state, too")

// TestHandoverCutAtEachByte cuts the connection between the two processes of a hand-over at each byte, while both
// processes live. As long as the state is incomplete, the predecessor must continue to serve. After that, both may try
// to serve: the process that locks the write-ahead log first serves, and the other one exits. In each case one of them
// must serve, no unsafe message may be sent twice, and each message in flight must end once: by the result of its call,
// or as undeliverable if the result could not be passed on.
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
	t.Logf("the successor sends %d bytes, the predecessor %d; %d cuts: %d successors and %d predecessors served",
		passed[fromSuccessor], passed[fromPredecessor], len(cuts), successors.Load(), predecessors.Load())
	if successors.Load() < 30 || predecessors.Load() < 30 {
		t.Errorf("%d successors and %d predecessors served", successors.Load(), predecessors.Load())
	}
}
