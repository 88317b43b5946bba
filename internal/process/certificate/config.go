package certificate

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// HTTPServerConfig returns the configuration of an HTTP listener for callers, operators
// and targets, which show no certificate.
func (k *Reloader) HTTPServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.pair(), nil },
	}
}

// LinkServerConfig returns the configuration for links that other processes open. They must
// show a certificate of one of the authorities in force.
func (k *Reloader) LinkServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		NextProtos:     []string{"h2"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.pair(), nil },
		// The authorities can change, so that VerifyConnection checks against those
		// in force instead of ClientCAs.
		ClientAuth: tls.RequireAnyClientCert,
		VerifyConnection: func(s tls.ConnectionState) error {
			return k.verify(s, "", x509.ExtKeyUsageClientAuth)
		},
	}
}

// LinkClientConfig returns the configuration for a link that this process opens to a host, an
// IP number or a name without port. The other process must show a certificate of
// one of the authorities in force for this host. The host is given here because a
// connection does not tell an IP number to VerifyConnection.
func (k *Reloader) LinkClientConfig(host string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.pair(), nil
		},
		// VerifyConnection does the whole check, against the authorities in force
		// instead of those at the time when the configuration was made.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if host == "" {
				return errors.New("link has no host to check the certificate against")
			}
			return k.verify(s, host, x509.ExtKeyUsageServerAuth)
		},
	}
}

func (k *Reloader) pair() *tls.Certificate {
	return &k.loaded.Load().pair
}

func (k *Reloader) verify(s tls.ConnectionState, name string, usage x509.ExtKeyUsage) error {
	pool := k.loaded.Load().pool
	if pool == nil || len(s.PeerCertificates) == 0 {
		return errors.New("no authorities or no certificate to check")
	}
	between := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       name,
		Roots:         pool,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return errors.Wrap(err, "certificate of the other process")
}
