package certificate

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// HTTPServerConfig returns the configuration of an HTTP listener for callers,
// operators and targets, which present no certificate.
func (r *Reloader) HTTPServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.pair(), nil },
	}
}

// LinkServerConfig returns the configuration for links that other processes open.
// They must present a certificate of an active authority.
func (r *Reloader) LinkServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		NextProtos:     []string{"h2"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.pair(), nil },
		// The authorities can change, so VerifyConnection checks against the active
		// ones instead of ClientCAs.
		ClientAuth: tls.RequireAnyClientCert,
		VerifyConnection: func(s tls.ConnectionState) error {
			return r.verify(s, "", x509.ExtKeyUsageClientAuth)
		},
	}
}

// LinkClientConfig returns the configuration for a link that this process opens to a
// host, an IP address or a name without port. The other process must present a
// certificate of an active authority for this host. The host is a parameter because
// the connection state in VerifyConnection does not contain an IP address.
func (r *Reloader) LinkClientConfig(host string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.pair(), nil
		},
		// VerifyConnection does the whole check, against the active authorities
		// instead of those from when the configuration was created.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if host == "" {
				return errors.New("link has no host to check the certificate against")
			}
			return r.verify(s, host, x509.ExtKeyUsageServerAuth)
		},
	}
}

func (r *Reloader) pair() *tls.Certificate {
	return &r.current.Load().pair
}

func (r *Reloader) verify(s tls.ConnectionState, name string, usage x509.ExtKeyUsage) error {
	pool := r.current.Load().pool
	if pool == nil || len(s.PeerCertificates) == 0 {
		return errors.New("no trusted authorities or no peer certificate to verify")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       name,
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return errors.Wrap(err, "verify certificate of the other process")
}
