package netfault

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// A Block is a range of loopback addresses that no other process of this machine takes from this package.
type Block struct {
	prefix string
	lock   net.Listener
}

const (
	// lockPort on the first address of a block is listened on by the process that has the block.
	lockPort  = 20007
	maxBlocks = 100 * 256 // 127.20.0.0 to 127.119.255.0
)

// errNoBlock means that many blocks were tried and all of them were taken.
var errNoBlock = errors.New("fault: no free block of loopback addresses")

// NewBlock takes a free block. The platform's ports can be used on each of its addresses, as on machines of their
// own. The caller closes it.
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

// Host returns an address of the block, by a number from 2 to 254.
func (b *Block) Host(n int) string { return fmt.Sprintf("%s%d", b.prefix, n) }

// Close gives the block back.
func (b *Block) Close() { b.lock.Close() }
