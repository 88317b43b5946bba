// Package authority issues certificates for tests and trials. The platform's
// authority does it elsewhere.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/certificate"
)

const (
	lifetime = 24 * time.Hour
	// backdate allows for clocks that are behind.
	backdate = time.Hour
	fileMode = 0o600
)

// Authority issues certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New returns an authority with a key of its own.
func New(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "key of the authority")
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject: pkix.Name{
			CommonName: name,
		},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(lifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "certificate of the authority")
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{
		cert: cert,
		key:  key,
	}, errors.Wrap(err, "certificate of the authority")
}

// Certificate is the authority's certificate, for the pool of a client.
func (a *Authority) Certificate() *x509.Certificate {
	return a.cert
}

// Issue writes a certificate for an IP number, its key and the trusted
// authorities into dir.
func (a *Authority) Issue(dir, ip string, lasts time.Duration, trusted ...*Authority) (certificate.Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return certificate.Files{}, errors.Wrap(err, "key")
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(lasts),
		IPAddresses:  []net.IP{net.ParseIP(ip)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return certificate.Files{}, errors.Wrap(err, "certificate")
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return certificate.Files{}, errors.Wrap(err, "encode key")
	}
	var pool [][]byte
	for _, t := range trusted {
		pool = append(pool, t.cert.Raw)
	}
	return write(dir, [][]byte{der}, [][]byte{private}, pool)
}

func write(dir string, cert, key, pool [][]byte) (certificate.Files, error) {
	certPath, keyPath, poolPath := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "authorities.pem")
	if err := writePEM(certPath, "CERTIFICATE", cert); err != nil {
		return certificate.Files{}, err
	}
	if err := writePEM(keyPath, "PRIVATE KEY", key); err != nil {
		return certificate.Files{}, err
	}
	if err := writePEM(poolPath, "CERTIFICATE", pool); err != nil {
		return certificate.Files{}, err
	}
	return certificate.NewFiles(certPath, keyPath, poolPath)
}

func writePEM(path, kind string, blocks [][]byte) error {
	var data []byte
	for _, b := range blocks {
		data = append(data, pem.EncodeToMemory(&pem.Block{
			Type:  kind,
			Bytes: b,
		})...)
	}
	return errors.Wrap(os.WriteFile(path, data, fileMode), "write certificate")
}
