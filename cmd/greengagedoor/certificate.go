package main

import (
	"github.com/sirupsen/logrus"

	"greengagedoor.example/greengagedoor/internal/process/certificate"
	"greengagedoor.example/greengagedoor/internal/process/role/host"
	"greengagedoor.example/greengagedoor/internal/process/setting"
)

// withCertificates returns c with the certificates that the settings name.
func withCertificates(c host.Common, v *setting.Values, l *logrus.Entry) (host.Common, error) {
	httpCertificate, err := newReloader(v.Text("tls", "http_certificate"), v.Text("tls", "http_key"), "", l)
	if err != nil {
		return host.Common{}, err
	}
	linkCertificate, err := newReloader(v.Text("tls", "link_certificate"), v.Text("tls", "link_key"), v.Text("tls", "link_authorities"), l)
	return c.WithCertificates(httpCertificate, linkCertificate), err
}

// newReloader returns a reloader of the files, or nil if no certificate is set.
func newReloader(cert, key, authorities string, l *logrus.Entry) (*certificate.Reloader, error) {
	if cert == "" {
		return nil, nil
	}
	files, err := certificate.NewFiles(cert, key, authorities)
	if err != nil {
		return nil, err
	}
	return certificate.New(files, func(err error) {
		if err != nil {
			l.WithError(err).Error("certificate is invalid; the previous one stays active")
			return
		}
		l.WithField("certificate", cert).Info("certificate replaced")
	})
}
