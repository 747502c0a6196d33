package netfault

import (
	"fmt"
	"net"
	"os"
)

// A Block is a range of loopback addresses that no other process of this machine uses.
type Block struct {
	prefix string
	lock   net.Listener
}

// Host is an address of the block, by a number from 2 to 254.
func (b *Block) Host(n int) string { return fmt.Sprintf("%s%d", b.prefix, n) }

// Close gives the block back.
func (b *Block) Close() { b.lock.Close() }

// lockPort of a block's first address says that the block is taken.
const lockPort = 7

// NewBlock takes a block. The platform's ports can then be used on each of its addresses, as on machines of their own.
func NewBlock() (*Block, error) {
	for i := range 1000 {
		k := (os.Getpid() + i*257) % (100 * 256)
		b := &Block{prefix: fmt.Sprintf("127.%d.%d.", 20+k/256, k%256)}
		var err error
		if b.lock, err = net.Listen("tcp4", fmt.Sprintf("%s1:%d", b.prefix, 20000+lockPort)); err == nil {
			return b, nil
		}
	}
	return nil, fmt.Errorf("fault: no free block of loopback addresses")
}
