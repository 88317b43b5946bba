package host

import (
	"crypto/tls"
	"net"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"greengagedoor.example/greengagedoor/internal/process/certificate"
	"greengagedoor.example/greengagedoor/internal/process/duty"
)

// WithCertificates returns a copy that uses TLS for the HTTP listener and for links.
// A nil reloader leaves the respective side without TLS. The process runs the
// reloaders.
func (c Common) WithCertificates(api, links *certificate.Reloader) Common {
	c.apiCertificates = api
	c.linkCertificates = links
	return c
}

// secureAPI wraps the HTTP listener with TLS if there are certificates for it.
func (c Common) secureAPI(l net.Listener) net.Listener {
	if c.apiCertificates == nil {
		return l
	}
	return tls.NewListener(l, c.apiCertificates.HTTPServerConfig())
}

// linkServerOptions returns the TLS options for links that other processes open.
func (c Common) linkServerOptions() []grpc.ServerOption {
	if c.linkCertificates == nil {
		return nil
	}
	return []grpc.ServerOption{grpc.Creds(credentials.NewTLS(c.linkCertificates.LinkServerConfig()))}
}

// linkClientConfig returns the function that gives the TLS configuration for links to a
// host, or nil without TLS.
func (c Common) linkClientConfig() func(host string) *tls.Config {
	if c.linkCertificates == nil {
		return nil
	}
	return c.linkCertificates.LinkClientConfig
}

// certificates returns the duties that reload certificates. Both listeners may
// share one reloader.
func (c Common) certificates() ([]duty.Duty, error) {
	var duties []duty.Duty
	add := func(name string, k *certificate.Reloader) error {
		if k == nil {
			return nil
		}
		d, err := duty.New(name, "Reloads certificates when they change.", nil, k.Run)
		duties = append(duties, d)
		return err
	}
	if err := add("certificate", c.apiCertificates); err != nil {
		return nil, err
	}
	if c.linkCertificates != c.apiCertificates {
		if err := add("link_certificate", c.linkCertificates); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	return duties, nil
}
