package rpc

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// reloadInterval bounds the time until a replaced certificate file takes effect.
const reloadInterval = 10 * time.Second

// TLSFiles holds the paths of the files for mutual TLS.
type TLSFiles struct {
	Certificate string
	Key         string
	Authority   string
}

// TLSConfig returns the configuration for both sides of a connection. The certificate and key are read again at
// intervals, so that replaced files take effect. All files are also read immediately, so that an invalid file is
// reported at startup. Without a certificate TLS is disabled and the configuration is nil.
func TLSConfig(files TLSFiles) (*tls.Config, error) {
	if files.Certificate == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, trace.BadParameter("tls.authority: %s", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("tls.authority: %s contains no valid PEM certificate", files.Authority)
	}
	loader := &certificateLoader{files: files}
	if _, err := loader.load(); err != nil {
		return nil, trace.BadParameter("tls.certificate: %s", err)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  authority,
		RootCAs:    authority,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return loader.load()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return loader.load()
		},
		// Gates are addressed by IP addresses that change with each VM, so the certificate's chain is verified below
		// and its names are not.
		InsecureSkipVerify: true,
		VerifyConnection:   verifyChain(authority),
	}, nil
}

// verifyChain verifies that the peer's certificate was issued by the fleet's certificate authority.
func verifyChain(authority *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return trace.AccessDenied("peer presented no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, certificate := range state.PeerCertificates[1:] {
			intermediates.AddCert(certificate)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:         authority,
			Intermediates: intermediates,
			KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		return trace.Wrap(err)
	}
}

// certificateLoader caches a certificate and reads it again once reloadInterval has passed.
type certificateLoader struct {
	files TLSFiles

	mu          sync.Mutex
	certificate *tls.Certificate
	loaded      time.Time
}

// load returns the certificate. If its files can no longer be read, the last valid certificate remains in use.
func (l *certificateLoader) load() (*tls.Certificate, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.certificate != nil && time.Since(l.loaded) < reloadInterval {
		return l.certificate, nil
	}
	certificate, err := tls.LoadX509KeyPair(l.files.Certificate, l.files.Key)
	if err != nil {
		if l.certificate != nil {
			return l.certificate, nil
		}
		return nil, err
	}
	l.certificate = &certificate
	l.loaded = time.Now()
	return l.certificate, nil
}
