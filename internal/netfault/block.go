package netfault

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// A Block is a range of loopback addresses. No other process on the same machine gets the same block from this package.
type Block struct {
	prefix string
	lock   net.Listener
}

const (
	lockPort  = 20007     // the owner of a block listens on this port of the block's first address
	maxBlocks = 100 * 256 // 127.20.0.0 to 127.119.255.0
)

// errNoBlock means that 1000 blocks were tried and all of them were in use.
var errNoBlock = errors.New("netfault: no free block of loopback addresses")

// NewBlock reserves a free block. The platform's usual ports can be used on each of its addresses, as on separate
// machines. The caller must call Close.
func NewBlock() (*Block, error) {
	for i := range 1000 {
		k := (os.Getpid() + i*257) % maxBlocks
		b := &Block{prefix: fmt.Sprintf("127.%d.%d.", 20+k/256, k%256)}
		var err error
		if b.lock, err = net.Listen("tcp4", fmt.Sprintf("%s1:%d", b.prefix, lockPort)); err == nil {
			return b, nil
		}
	}
	return nil, errNoBlock
}

// Host returns the address with the given number in the block, from 2 to 254.
func (b *Block) Host(n int) string { return fmt.Sprintf("%s%d", b.prefix, n) }

// Close releases the block.
func (b *Block) Close() { b.lock.Close() }
