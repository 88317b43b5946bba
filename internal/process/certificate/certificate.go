// Package certificate reloads the TLS certificates of a process when they change.
//
// Hosts get new certificates while their processes run, and an authority is
// replaced by adding the new one before the old one is removed. A Reloader reads
// its files periodically. Its TLS configurations use the latest valid files, so
// that no listener or link must be reopened. Invalid files leave the previous ones
// active.
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

// reloadInterval is the time between two reads of the files. The files are small,
// and a certificate is replaced long before it expires.
const reloadInterval = 2 * time.Second

// maxFileBytes limits the size of one file.
const maxFileBytes = 1 << 20

// Files names the PEM files of a process. Authorities is empty for a listener that
// does not request client certificates.
type Files struct {
	certificate string
	key         string
	authorities string
}

// NewFiles returns files. Certificate and key are required.
func NewFiles(certificate, key, authorities string) (Files, error) {
	if certificate == "" || key == "" {
		return Files{}, errors.Errorf("certificate file %q and key file %q: both are required", certificate, key)
	}
	return Files{
		certificate: certificate,
		key:         key,
		authorities: authorities,
	}, nil
}

// contents is the data of the files when they were read.
type contents struct {
	certificate []byte
	key         []byte
	authorities []byte
}

func (c contents) equal(other contents) bool {
	return bytes.Equal(c.certificate, other.certificate) && bytes.Equal(c.key, other.key) && bytes.Equal(c.authorities, other.authorities)
}

// keyMaterial is a valid set of files.
type keyMaterial struct {
	from contents
	pair tls.Certificate
	pool *x509.CertPool
}

// Reloader holds the active certificate and authorities.
type Reloader struct {
	files   Files
	report  func(error)
	current atomic.Pointer[keyMaterial]
	// lastFault is the text of the latest fault, empty for none. Only the goroutine
	// of Run uses it.
	lastFault string
}

// New reads the files, which must be valid. Report is called with each later fault,
// and with nil after each change of the files.
func New(files Files, report func(error)) (*Reloader, error) {
	r := &Reloader{
		files:  files,
		report: report,
	}
	if _, err := r.reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Run reads the files at an interval until ctx ends.
func (r *Reloader) Run(ctx context.Context) error {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.Refresh()
		case <-ctx.Done():
			return nil
		}
	}
}

// Refresh reads the files and activates them if they are valid. A persistent fault
// is reported once. It must not be called concurrently with Run.
func (r *Reloader) Refresh() {
	changed, err := r.reload()
	fault := ""
	if err != nil {
		fault = err.Error()
	}
	if changed || fault != "" && fault != r.lastFault {
		r.report(err)
	}
	r.lastFault = fault
}

func (r *Reloader) reload() (changed bool, err error) {
	from, err := r.files.read()
	if err != nil {
		return false, err
	}
	if current := r.current.Load(); current != nil && current.from.equal(from) {
		return false, nil
	}
	l := &keyMaterial{
		from: from,
	}
	l.pair, err = tls.X509KeyPair(from.certificate, from.key)
	if err != nil {
		return false, errors.Wrapf(err, "certificate %s with key %s", r.files.certificate, r.files.key)
	}
	if r.files.authorities != "" {
		l.pool = x509.NewCertPool()
		if !l.pool.AppendCertsFromPEM(from.authorities) {
			return false, errors.Errorf("authorities file %s has no PEM certificate", r.files.authorities)
		}
	}
	r.current.Store(l)
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
