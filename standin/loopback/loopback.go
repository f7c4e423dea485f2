// Package loopback assigns loopback addresses to stand-ins and to processes that tests start.
//
// All ports are below the kernel's ephemeral range, since an outgoing connection could otherwise take a port between its
// selection and its use. Each process starts in a block derived from its PID and uses its ports in sequence, so that
// concurrent test processes do not collide, and a client that still polls a closed stand-in of one process does not
// reach a stand-in of another.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	firstPort  = 12000
	blockPorts = 200
	portBlocks = 100
	portCount  = blockPorts * portBlocks
)

var nextPort atomic.Int64

// Listen returns a listener on an unused loopback port. A process that needs more ports than its block has continues in
// the following blocks.
func Listen() (net.Listener, error) {
	block := os.Getpid() % portBlocks * blockPorts
	var err error
	for range portCount {
		var listener net.Listener
		port := firstPort + (block+int(nextPort.Add(1)))%portCount
		if listener, err = net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
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
