package stricthttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper for responses that are checked.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport with the settings of another one, which must not be used otherwise afterwards.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(raw), nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*Conn); ok {
			_ = conn.ExpectResponse(nil) // fails only if all reads do
		}
	}}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	CheckTrailer(response)
	return response, nil
}

// CloseIdleConnections closes the connections that serve no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
