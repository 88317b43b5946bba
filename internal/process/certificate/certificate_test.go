package certificate_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/certificate"
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// authority issues certificates.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(name string) authority {
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der := must(x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key))
	return authority{cert: must(x509.ParseCertificate(der)), key: key}
}

// issue writes a certificate for an address into dir, which trusts the given
// authorities.
func (a authority) issue(dir, ip string, lasts time.Duration, trusted ...authority) certificate.Files {
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(lasts),
		IPAddresses:  []net.IP{net.ParseIP(ip)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der := must(x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key))
	write := func(name, kind string, blocks ...[]byte) string {
		var data []byte
		for _, b := range blocks {
			data = append(data, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b})...)
		}
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, data, 0o600); err != nil {
			panic(err)
		}
		return path
	}
	var pool [][]byte
	for _, t := range trusted {
		pool = append(pool, t.cert.Raw)
	}
	return must(certificate.NewFiles(
		write("cert.pem", "CERTIFICATE", der),
		write("key.pem", "PRIVATE KEY", must(x509.MarshalPKCS8PrivateKey(key))),
		write("ca.pem", "CERTIFICATE", pool...)))
}

// meet opens a link from one keeper to another and sends a byte each way. In TLS
// 1.3 the client learns of its refusal only from the first read.
func meet(from, to *certificate.Keeper) error {
	l := must(tls.Listen("tcp", "127.0.0.1:0", to.Accept()))
	defer func() { _ = l.Close() }()
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			defer func() { _ = c.Close() }()
			_, err = c.Write([]byte{1})
		}
		ended <- err
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), from.Open("127.0.0.1"))
	if err == nil {
		defer func() { _ = c.Close() }()
		_, err = c.Read(make([]byte, 1))
	}
	if refused := <-ended; err == nil {
		return refused
	}
	return err
}

// TestLinks guards against a link with a process that the authorities did not
// certify, and against a certificate that is not replaced.
func TestLinks(t *testing.T) {
	old, fresh := newAuthority("old"), newAuthority("fresh")
	here, there := t.TempDir(), t.TempDir()
	const local, foreign, hour = "127.0.0.1", "127.0.0.2", time.Hour
	keeper := func(f certificate.Files) *certificate.Keeper {
		return must(certificate.New(f, func(error) {}))
	}
	tests := map[string]struct {
		from, to certificate.Files
		ok       bool
	}{
		"same authority":                {from: old.issue(t.TempDir(), local, hour, old), to: old.issue(t.TempDir(), local, hour, old), ok: true},
		"client of another authority":   {from: fresh.issue(t.TempDir(), local, hour, old), to: old.issue(t.TempDir(), local, hour, old)},
		"listener of another authority": {from: old.issue(t.TempDir(), local, hour, old), to: fresh.issue(t.TempDir(), local, hour, old)},
		"listener at another address":   {from: old.issue(t.TempDir(), local, hour, old), to: old.issue(t.TempDir(), foreign, hour, old)},
		"expired client":                {from: old.issue(t.TempDir(), local, -time.Minute, old), to: old.issue(t.TempDir(), local, hour, old)},
		"both authorities trusted":      {from: fresh.issue(t.TempDir(), local, hour, old, fresh), to: old.issue(t.TempDir(), local, hour, old, fresh), ok: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the link opens only between certified processes", t, func() {
				So(meet(keeper(tt.from), keeper(tt.to)) == nil, ShouldEqual, tt.ok)
			})
		})
	}
	Convey("an authority is replaced while the processes run", t, func() {
		a := keeper(old.issue(here, local, hour, old))
		b := keeper(old.issue(there, local, hour, old))
		So(meet(a, b), ShouldBeNil)
		fresh.issue(here, local, hour, fresh)
		a.Refresh()
		So(meet(a, b), ShouldNotBeNil)
		fresh.issue(there, local, hour, fresh)
		b.Refresh()
		So(meet(a, b), ShouldBeNil)
	})
}

// TestRefresh guards against a half-written file that takes a process off the
// network, and against a fault or a change that is not reported.
func TestRefresh(t *testing.T) {
	Convey("files that cannot be used leave the former ones in force", t, func() {
		dir, ca := t.TempDir(), newAuthority("ca")
		files := ca.issue(dir, "127.0.0.1", time.Hour, ca)
		var reports []error
		k := must(certificate.New(files, func(err error) { reports = append(reports, err) }))
		k.Refresh()
		So(reports, ShouldBeEmpty)
		for _, name := range []string{"cert.pem", "key.pem", "ca.pem"} {
			saved := must(os.ReadFile(filepath.Join(dir, name)))
			So(os.WriteFile(filepath.Join(dir, name), saved[:10], 0o600), ShouldBeNil)
			k.Refresh()
			So(meet(k, k), ShouldBeNil)
			So(os.WriteFile(filepath.Join(dir, name), saved, 0o600), ShouldBeNil)
		}
		So(reports, ShouldHaveLength, 3)
		ca.issue(dir, "127.0.0.1", time.Hour, ca)
		k.Refresh()
		So(reports, ShouldHaveLength, 4)
		So(reports[3], ShouldBeNil)
		So(os.Remove(filepath.Join(dir, "key.pem")), ShouldBeNil)
		_, err := certificate.New(files, func(error) {})
		So(err, ShouldNotBeNil)
	})
}
