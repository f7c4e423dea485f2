package rpc

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"storj.io/drpc/drpcmux"

	"github.com/amaranthlb/amaranthlb/internal/pb"
)

// authority is a certificate authority for tests.
type authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	pem         []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{key: key, certificate: certificate, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// writeFiles writes a new certificate issued by the authority, its key, and the certificate of the trusted authority.
func (a *authority) writeFiles(t *testing.T, trusted *authority) TLSFiles {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "daemon"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	directory := t.TempDir()
	write := func(name string, content []byte) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return TLSFiles{
		Certificate: write("cert.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})),
		Key:         write("key.pem", pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})),
		Authority:   write("ca.pem", trusted.pem),
	}
}

func (a *authority) config(t *testing.T, trusted *authority) *tls.Config {
	t.Helper()
	config, err := TLSConfig(a.writeFiles(t, trusted))
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// planServer implements only the Plan method.
type planServer struct {
	pb.DRPCTicketsUnimplementedServer
}

func (*planServer) Plan(context.Context, *pb.PlanRequest) (*pb.PlanReply, error) {
	return &pb.PlanReply{Draining: true}, nil
}

// byteCounter counts the bytes of control connections.
type byteCounter struct{ sent, received atomic.Int64 }

func (c *byteCounter) ControlSent(bytes int)     { c.sent.Add(int64(bytes)) }
func (c *byteCounter) ControlReceived(bytes int) { c.received.Add(int64(bytes)) }

// serve starts a server that is stopped at the end of the test.
func serve(t *testing.T, config *tls.Config, counter Counter) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := pb.DRPCRegisterTickets(mux, &planServer{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, listener, mux, config, counter) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

func plan(t *testing.T, dialer *Dialer, address string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := pb.NewDRPCTicketsClient(dialer.Conn(ctx, address)).Plan(ctx, &pb.PlanRequest{})
	return err
}

// Guards against accepting a daemon of another fleet or one without a certificate.
func TestMutualTLS(t *testing.T) {
	fleet, foreign := newAuthority(t), newAuthority(t)
	address := serve(t, fleet.config(t, fleet), nil)
	cases := []struct {
		name   string
		client *tls.Config
		want   bool
	}{
		{"same fleet", fleet.config(t, fleet), true},
		{"certificate of another fleet", foreign.config(t, fleet), false},
		{"trusts another fleet", fleet.config(t, foreign), false},
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, false},
		{"plain TCP", nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dialer := NewDialer(Traffic, c.client, nil)
			defer func() { _ = dialer.Close() }()
			if err := plan(t, dialer, address); (err == nil) != c.want {
				t.Fatalf("error is %v", err)
			}
		})
	}
}

// Guards against starting with invalid TLS files.
func TestTLSConfigRejectsInvalidKey(t *testing.T) {
	fleet := newAuthority(t)
	files := fleet.writeFiles(t, fleet)
	files.Key = files.Certificate
	if _, err := TLSConfig(files); err == nil {
		t.Fatal("a certificate was accepted as a key")
	}
}

// Guards against request traffic that is counted as control traffic, and control traffic that is not counted.
func TestOnlyControlBytesAreCounted(t *testing.T) {
	server := new(byteCounter)
	address := serve(t, nil, server)
	for _, class := range []Class{Traffic, Control} {
		client := new(byteCounter)
		dialer := NewDialer(class, nil, client)
		if err := plan(t, dialer, address); err != nil {
			t.Fatal(err)
		}
		_ = dialer.Close()
		counted := client.sent.Load() > 0 && client.received.Load() > 0 && server.received.Load() > 0
		if counted != (class == Control) {
			t.Fatalf("class %c: client %d/%d bytes, server %d bytes", class, client.sent.Load(), client.received.Load(), server.received.Load())
		}
	}
}

// Guards against a failed dial that cannot be distinguished from a call that may have run.
func TestFailedDialReturnsDialError(t *testing.T) {
	dialer := NewDialer(Traffic, nil, nil)
	defer func() { _ = dialer.Close() }()
	var failed *DialError
	if err := plan(t, dialer, "127.0.0.1:1"); !errors.As(err, &failed) {
		t.Fatalf("error is %v", err)
	}
}

// Guards against connections whose goroutines outlive the server.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
