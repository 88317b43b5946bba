// Package certificate keeps the certificate of a process fresh.
//
// Hosts get new certificates while their processes run, and authorities are
// replaced by adding the new one before the old one goes. A Keeper reads its
// files again when they change and gives TLS configurations that use whatever was
// read last, so that no listener and no link has to be opened anew. Files that
// cannot be used leave the former ones in force.
package certificate

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// interval is how often the files are read. They are small, and a certificate is
// replaced long before it ends.
const interval = 2 * time.Second

// maxFileBytes bounds what is read of one file.
const maxFileBytes = 1 << 20

// Files names the files of a process, all in PEM. Authorities may be empty for a
// listener that asks its clients for no certificate.
type Files struct {
	certificate string
	key         string
	authorities string
}

// NewFiles checks that certificate and key are named.
func NewFiles(certificate, key, authorities string) (Files, error) {
	if certificate == "" || key == "" {
		return Files{}, errors.Errorf("certificate file %q and key file %q: both are needed", certificate, key)
	}
	return Files{
		certificate: certificate,
		key:         key,
		authorities: authorities,
	}, nil
}

// contents is what the files held when they were read.
type contents struct {
	certificate []byte
	key         []byte
	authorities []byte
}

func (c contents) equal(other contents) bool {
	return bytes.Equal(c.certificate, other.certificate) && bytes.Equal(c.key, other.key) && bytes.Equal(c.authorities, other.authorities)
}

// loaded is a usable set of files.
type loaded struct {
	from contents
	pair tls.Certificate
	pool *x509.CertPool
}

// Reloader holds the certificate in force.
type Reloader struct {
	files  Files
	report func(error)
	loaded atomic.Pointer[loaded]
	// fault is the last one reported. Only the goroutine of Run uses it.
	fault string
}

// New reads the files, which must be usable at the start. Report is told of later
// faults and of each change, for which its argument is nil.
func New(files Files, report func(error)) (*Reloader, error) {
	k := &Reloader{
		files:  files,
		report: report,
	}
	if _, err := k.reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Run reads the files again at an interval until ctx ends.
func (k *Reloader) Run(ctx context.Context) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			k.Refresh()
		case <-ctx.Done():
			return nil
		}
	}
}

// Refresh reads the files at once and takes them if they are usable. A fault that
// lasts is reported once. It must not be called beside Run.
func (k *Reloader) Refresh() {
	changed, err := k.reload()
	fault := ""
	if err != nil {
		fault = err.Error()
	}
	if changed || fault != "" && fault != k.fault {
		k.report(err)
	}
	k.fault = fault
}

func (k *Reloader) reload() (changed bool, err error) {
	from, err := k.files.read()
	if err != nil {
		return false, err
	}
	if now := k.loaded.Load(); now != nil && now.from.equal(from) {
		return false, nil
	}
	l := &loaded{
		from: from,
	}
	l.pair, err = tls.X509KeyPair(from.certificate, from.key)
	if err != nil {
		return false, errors.Wrapf(err, "certificate %s with key %s", k.files.certificate, k.files.key)
	}
	if k.files.authorities != "" {
		l.pool = x509.NewCertPool()
		if !l.pool.AppendCertsFromPEM(from.authorities) {
			return false, errors.Errorf("authorities %s: no certificate in PEM", k.files.authorities)
		}
	}
	k.loaded.Store(l)
	return true, nil
}

func (f Files) read() (c contents, err error) {
	if c.certificate, err = read(f.certificate); err != nil {
		return contents{}, err
	}
	if c.key, err = read(f.key); err != nil {
		return contents{}, err
	}
	if f.authorities != "" {
		c.authorities, err = read(f.authorities)
	}
	return c, err
}

func read(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "certificate file")
	}
	if info.Size() > maxFileBytes {
		return nil, errors.Errorf("certificate file %s has %d bytes, at most %d are allowed", path, info.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(path)
	return data, errors.Wrap(err, "certificate file")
}
