package router

import (
	"net"

	"github.com/amaranthlb/amaranthlb/internal/ingress"
)

// limitClients bounds the connections that a listener accepts from clients and the heads of their requests.
func (r *Router) limitClients(listener net.Listener) *ingress.Listener {
	clients := ingress.Listen(listener, ingress.Limits{
		Connections: r.config.Connections, HeadMemory: r.config.HeadMemory, HeadBytes: r.headBytes, Closed: r.meters.Event,
	})
	r.clients.Store(clients)
	return clients
}

// headBytes returns the largest request head, in bytes: that of the configuration, if it sets one.
func (r *Router) headBytes() int {
	if table := r.table.Load(); table != nil && table.Limits.HeaderBytes > 0 {
		return min(table.Limits.HeaderBytes, maxHeaderBytes)
	}
	return maxHeaderBytes
}

// clientConnections returns the number of clients' connections.
func (r *Router) clientConnections() int64 {
	if clients := r.clients.Load(); clients != nil {
		return clients.Count()
	}
	return 0
}
