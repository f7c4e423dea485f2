package router

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/ingress"
	"github.com/amaranthlb/amaranthlb/internal/peers"
)

// Limits of each listener for readiness and metrics. Probes and scrapes take a few connections with short heads.
const (
	adminHeadBytes   = 8 << 10
	adminHeadMemory  = 1 << 20
	adminConnections = 32
	// adminTimeout bounds reading a request and, separately, writing its response.
	adminTimeout = 2 * time.Second
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

// adminServer returns the server for readiness and metrics.
func (r *Router) adminServer() *http.Server {
	return &http.Server{
		Handler: r.admin(), ReadTimeout: adminTimeout, WriteTimeout: adminTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: adminHeadBytes, ConnState: ingress.ConnState,
	}
}

// limitAdmin bounds the connections of a listener for readiness and metrics.
func (r *Router) limitAdmin(listener net.Listener) net.Listener {
	return ingress.Listen(listener, ingress.Limits{
		Connections: adminConnections, HeadMemory: adminHeadMemory, HeadBytes: func() int { return adminHeadBytes },
		Closed: func(kind string) { r.meters.Event("admin_" + kind) },
	})
}

// digestInvalid counts a datagram that can't be used. Datagrams with forged addresses are not logged, since any process
// can send many.
func (r *Router) digestInvalid(err error) {
	if errors.Is(err, peers.ErrForeignSource) {
		r.meters.Event("digest_foreign_source")
		return
	}
	r.meters.Event("digest_invalid")
	r.log.WithError(err).Info("failed to receive datagram from peer")
}

// isMemberHost reports whether an IP address is that of a router that counts as live, or of a seed.
func (r *Router) isMemberHost(host string) bool {
	r.controlMu.Lock()
	defer r.controlMu.Unlock()
	return r.members.Knows(r.now(), host)
}
