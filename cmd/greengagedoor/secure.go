package main

import (
	"github.com/sirupsen/logrus"

	"greengagedoor.example/greengagedoor/internal/process/certificate"
	"greengagedoor.example/greengagedoor/internal/process/role/host"
	"greengagedoor.example/greengagedoor/internal/process/setting"
)

// secured adds the certificates of the settings.
func secured(c host.Common, v *setting.Values, l *logrus.Entry) (host.Common, error) {
	pages, err := keeper(v.Text("tls", "http_certificate"), v.Text("tls", "http_key"), "", l)
	if err != nil {
		return host.Common{}, err
	}
	links, err := keeper(v.Text("tls", "link_certificate"), v.Text("tls", "link_key"), v.Text("tls", "link_authorities"), l)
	return c.WithCertificates(pages, links), err
}

// keeper returns nil without files.
func keeper(cert, key, authorities string, l *logrus.Entry) (*certificate.Reloader, error) {
	if cert == "" {
		return nil, nil
	}
	files, err := certificate.NewFiles(cert, key, authorities)
	if err != nil {
		return nil, err
	}
	return certificate.New(files, func(err error) {
		if err != nil {
			l.WithError(err).Error("certificate cannot be used; the former one stays in force")
			return
		}
		l.WithField("certificate", cert).Info("certificate replaced")
	})
}
