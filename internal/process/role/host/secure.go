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
func (c Common) WithCertificates(pages, links *certificate.Reloader) Common {
	c.pageKeeper = pages
	c.linkKeeper = links
	return c
}

// securePages wraps the HTTP listener.
func (c Common) securePages(l net.Listener) net.Listener {
	if c.pageKeeper == nil {
		return l
	}
	return tls.NewListener(l, c.pageKeeper.HTTPServerConfig())
}

// linkOptions secures the links that other processes open.
func (c Common) linkOptions() []grpc.ServerOption {
	if c.linkKeeper == nil {
		return nil
	}
	return []grpc.ServerOption{grpc.Creds(credentials.NewTLS(c.linkKeeper.LinkServerConfig()))}
}

// openSecure is the network's seam for the links that this process opens.
func (c Common) openSecure() func(host string) *tls.Config {
	if c.linkKeeper == nil {
		return nil
	}
	return c.linkKeeper.LinkClientConfig
}

// keepers are the duties that keep the certificates fresh. Both listeners may
// have the same keeper.
func (c Common) keepers() ([]duty.Duty, error) {
	var duties []duty.Duty
	add := func(name string, k *certificate.Reloader) error {
		if k == nil {
			return nil
		}
		d, err := duty.New(name, "Reads certificates again when they change.", nil, k.Run)
		duties = append(duties, d)
		return err
	}
	if err := add("certificate", c.pageKeeper); err != nil {
		return nil, err
	}
	if c.linkKeeper != c.pageKeeper {
		if err := add("link_certificate", c.linkKeeper); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	return duties, nil
}
