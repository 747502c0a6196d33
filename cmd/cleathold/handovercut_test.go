package main

import (
	"flag"
	"fmt"
	"sync/atomic"
	"testing"
)

// everyByte has a hand-over cut at each byte, and not only at some of the estate's.
var everyByte = flag.Bool("every-byte", false, "cut a hand-over at each byte of the estate, too")

// Two processes of a sender tell each other what a hand-over needs, and are cut off from each other at each byte of it,
// while both live. As long as the estate is not whole the giver serves on. From then on both may believe that they have it,
// and whoever comes first to the journal does; the other finds it locked and ends. One of them serves in any case, nothing
// unsafe is sent twice, and what was out ends once: by its call's answer, or undeliverable where that could not be passed on.
func TestHandoverCutAtEachByte(t *testing.T) {
	t.Parallel()
	const shards = 6
	var sum [2]int
	t.Run("whole", func(t *testing.T) {
		chain := newHandoverChain(t)
		chain.start()
		var succeeded bool
		if sum, succeeded = chain.handOver(0, -1); !succeeded {
			t.Error("the heir did not take over")
		}
		chain.checkOutcomes(map[string]bool{"out-0.-1": false})
	})
	var cuts [][2]int
	for way, n := range sum {
		for k := range n {
			if way == 0 || *everyByte || k < 6 || k > n-200 && k%3 == 0 || k%61 == 0 {
				cuts = append(cuts, [2]int{way, k})
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
				cut := map[string]bool{}
				for k := i; k < len(cuts); k += shards {
					_, succeeded := chain.handOver(cuts[k][0], cuts[k][1])
					if cut[fmt.Sprintf("out-%d.%d", cuts[k][0], cuts[k][1])] = succeeded; succeeded {
						successors.Add(1)
					} else {
						predecessors.Add(1)
					}
				}
				chain.checkOutcomes(cut)
			})
		}
	})
	t.Logf("the heir says %d bytes, the giver %d; %d cuts: %d heirs and %d givers served", sum[0], sum[1], len(cuts), successors.Load(), predecessors.Load())
	if successors.Load() < 30 || predecessors.Load() < 30 {
		t.Errorf("%d heirs and %d givers served", successors.Load(), predecessors.Load())
	}
}
