package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"github.com/jaystage/jaystage/internal/settings"
)

// TLSConfigs loads the certificates for links and returns a node's TLS configurations as
// server and as client. Both are nil if the settings select plain text, which is allowed
// only if the node listens on loopback.
func TLSConfigs(s settings.Security, listen string) (server, client *tls.Config, err error) {
	if s.Plaintext {
		if !isLoopback(listen) {
			return nil, nil, fmt.Errorf("security.plaintext is set but listen.peers %q is not a loopback address; set security.cert, key and ca", listen)
		}
		return nil, nil, nil
	}
	if s.Cert == "" || s.Key == "" || s.CA == "" {
		return nil, nil, errors.New("links between nodes need security.cert, security.key and security.ca, or security.plaintext on loopback")
	}
	cert, err := tls.LoadX509KeyPair(s.Cert, s.Key)
	if err != nil {
		return nil, nil, fmt.Errorf("security.cert and security.key: %w", err)
	}
	pem, err := os.ReadFile(s.CA)
	if err != nil {
		return nil, nil, fmt.Errorf("security.ca: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, fmt.Errorf("security.ca: %s holds no PEM certificate", s.CA)
	}
	server = &tls.Config{Certificates: []tls.Certificate{cert}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13}
	client = &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, MinVersion: tls.VersionTLS13}
	return server, client, nil
}
