// Package authority is a stand-in for the platform's certificate authority. It
// issues certificates for tests and trials.
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
	// backdate allows for peers whose clocks are behind.
	backdate = time.Hour
	fileMode = 0o600
)

// Authority is a certificate authority with a self-signed certificate.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New returns an authority with a new key. name is the common name of its
// certificate.
func New(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key of the authority")
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
	certDER, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "create certificate of the authority")
	}
	cert, err := x509.ParseCertificate(certDER)
	return &Authority{
		cert: cert,
		key:  key,
	}, errors.Wrap(err, "parse certificate of the authority")
}

// Certificate returns the certificate of the authority, for the certificate pool of
// a client.
func (a *Authority) Certificate() *x509.Certificate {
	return a.cert
}

// Issue creates a certificate for an IP address. It writes the certificate, its key
// and the certificates of the trusted authorities to dir.
func (a *Authority) Issue(dir, ip string, validity time.Duration, trusted ...*Authority) (certificate.Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return certificate.Files{}, errors.Wrap(err, "key")
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
		IPAddresses:  []net.IP{net.ParseIP(ip)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certDER, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return certificate.Files{}, errors.Wrap(err, "certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return certificate.Files{}, errors.Wrap(err, "encode private key")
	}
	var authorities [][]byte
	for _, t := range trusted {
		authorities = append(authorities, t.cert.Raw)
	}
	return write(dir, [][]byte{certDER}, [][]byte{keyDER}, authorities)
}

func write(dir string, cert, key, authorities [][]byte) (certificate.Files, error) {
	certPath, keyPath, authoritiesPath := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "authorities.pem")
	if err := writePEM(certPath, "CERTIFICATE", cert); err != nil {
		return certificate.Files{}, err
	}
	if err := writePEM(keyPath, "PRIVATE KEY", key); err != nil {
		return certificate.Files{}, err
	}
	if err := writePEM(authoritiesPath, "CERTIFICATE", authorities); err != nil {
		return certificate.Files{}, err
	}
	return certificate.NewFiles(certPath, keyPath, authoritiesPath)
}

func writePEM(path, kind string, blocks [][]byte) error {
	var data []byte
	for _, b := range blocks {
		data = append(data, pem.EncodeToMemory(&pem.Block{
			Type:  kind,
			Bytes: b,
		})...)
	}
	return errors.Wrap(os.WriteFile(path, data, fileMode), "write PEM file")
}
