package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/settings"
)

// newSelfSignedCert writes a self-signed certificate for loopback and its key to a
// temporary directory and returns settings that use them.
func newSelfSignedCert(t *testing.T) settings.Security {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "node"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	s := settings.Security{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "cert.pem")}
	for path, block := range map[string]*pem.Block{s.Cert: {Type: "CERTIFICATE", Bytes: cert}, s.Key: {Type: "EC PRIVATE KEY", Bytes: secret}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// startTLS runs links on a loopback listener, with TLS unless config is nil, and returns
// the listener's address.
func startTLS(t *testing.T, l *Links, config *tls.Config) string {
	t.Helper()
	server := httptest.NewUnstartedServer(l.Handler())
	server.Config.ErrorLog = nil
	server.TLS = config
	if config == nil {
		server.Start()
	} else {
		server.StartTLS()
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); l.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String()
}

// Guards against links that accept a node with a certificate signed by another CA, or a
// node without TLS.
func TestLinkRequiresCertificateFromSameCA(t *testing.T) {
	ours, theirs := newSelfSignedCert(t), newSelfSignedCert(t)
	serverTLS, clientTLS, err := TLSConfigs(ours, "10.0.0.1:7003")
	if err != nil {
		t.Fatal(err)
	}
	_, otherTLS, err := TLSConfigs(theirs, "10.0.0.1:7003")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := Config{Name: "b", Key: []byte("0123456789abcdef"), Log: log}
	address := startTLS(t, New(config), serverTLS)
	for _, c := range []struct {
		name   string
		client *tls.Config
		want   bool
	}{{"same CA", clientTLS, true}, {"other CA", otherTLS, false}, {"plain text", nil, false}} {
		t.Run(c.name, func(t *testing.T) {
			config := Config{Name: "a", Key: []byte("0123456789abcdef"), Log: log, TLS: c.client, Address: func(string) (string, bool) { return address, true }}
			a := New(config)
			startTLS(t, a, nil)
			if err := a.dialOnce(t.Context(), "b"); (err == nil) != c.want {
				t.Errorf("got %v, want a link: %v", err, c.want)
			}
		})
	}
}

func TestPlainTextRejectedOutsideLoopback(t *testing.T) {
	if _, _, err := TLSConfigs(settings.Security{Plaintext: true}, "10.0.0.1:7003"); err == nil {
		t.Error("a listener outside loopback was accepted without TLS")
	}
	a := New(Config{Name: "a", Address: func(string) (string, bool) { return "10.0.0.1:7003", true }})
	if err := a.dialOnce(t.Context(), "b"); err == nil {
		t.Error("a node outside loopback was dialed without TLS")
	}
}
