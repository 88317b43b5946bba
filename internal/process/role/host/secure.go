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

// WithCertificates secures the HTTP listener and the links; nil leaves one of
// them plain. The process runs the keepers.
func (c Common) WithCertificates(api, links *certificate.Reloader) Common {
	c.apiCertificates = api
	c.linkCertificates = links
	return c
}

// securePages wraps the HTTP listener.
func (c Common) secureAPI(l net.Listener) net.Listener {
	if c.apiCertificates == nil {
		return l
	}
	return tls.NewListener(l, c.apiCertificates.HTTPServerConfig())
}

// linkOptions secures the links that other processes open.
func (c Common) linkOptions() []grpc.ServerOption {
	if c.linkCertificates == nil {
		return nil
	}
	return []grpc.ServerOption{grpc.Creds(credentials.NewTLS(c.linkCertificates.LinkServerConfig()))}
}

// openSecure is the network's seam for the links that this process opens.
func (c Common) openSecure() func(host string) *tls.Config {
	if c.linkCertificates == nil {
		return nil
	}
	return c.linkCertificates.LinkClientConfig
}

// keepers are the duties that keep the certificates fresh. Both listeners may
// have the same keeper.
func (c Common) certificates() ([]duty.Duty, error) {
	var duties []duty.Duty
	add := func(name string, k *certificate.Reloader) error {
		if k == nil {
			return nil
		}
		d, err := duty.New(name, "Reads certificates again when they change.", nil, k.Run)
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
