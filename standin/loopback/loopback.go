// Package loopback assigns loopback addresses to stand-ins and to processes that tests start.
//
// All ports are below the kernel's ephemeral range, since an outgoing connection could otherwise take a port between its
// selection and its use. Each process reserves blocks of ports, so that concurrent test processes do not take a port that
// another one has assigned and that is unused while its process restarts. It uses the ports of its blocks in sequence, so
// that a client that still polls a closed stand-in does not reach another one.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

const (
	firstPort  = 12000
	blockPorts = 200
	portBlocks = 100
	// maxBlocks bounds the blocks of one process, which uses its ports again when it has used all of them.
	maxBlocks = 10
)

// allocator assigns the ports of the blocks that this process has reserved. A block is reserved by a listener on its
// first port, which the kernel closes with the process.
type allocator struct {
	mu     sync.Mutex
	blocks []int
	// reservations keeps the listeners from being collected.
	reservations []net.Listener
	// next is the number of the next port among those of all reserved blocks.
	next int
}

var ports allocator

var errNoBlock = errors.New("all blocks of loopback ports are reserved by other processes")

// reserve adds a block that no other process has reserved.
func (a *allocator) reserve() error {
	for i := range portBlocks {
		block := (os.Getpid() + i) % portBlocks
		if listener, err := listenOn(firstPort + block*blockPorts); err == nil {
			a.blocks, a.reservations = append(a.blocks, block), append(a.reservations, listener)
			return nil
		}
	}
	return errNoBlock
}

// take returns the next port.
func (a *allocator) take() (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	const usable = blockPorts - 1
	if a.next == len(a.blocks)*usable {
		var err error
		if len(a.blocks) < maxBlocks {
			err = a.reserve()
		}
		if len(a.blocks) == 0 {
			return 0, err
		}
		if a.next == len(a.blocks)*usable {
			a.next = 0
		}
	}
	port := firstPort + a.blocks[a.next/usable]*blockPorts + 1 + a.next%usable
	a.next++
	return port, nil
}

func listenOn(port int) (net.Listener, error) {
	return net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
}

// Listen returns a listener on an unused loopback port.
func Listen() (net.Listener, error) {
	var err error
	for range maxBlocks * blockPorts {
		var port int
		if port, err = ports.take(); err != nil {
			break
		}
		var listener net.Listener
		if listener, err = listenOn(port); err == nil {
			return listener, nil
		}
	}
	return nil, fmt.Errorf("no free loopback port: %w", err)
}

// FreeAddress returns a loopback address with an unused port, for a process or server that opens it itself.
func FreeAddress() (string, error) {
	listener, err := Listen()
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}
