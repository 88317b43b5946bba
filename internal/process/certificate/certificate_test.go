package certificate_test

import (
	"crypto/tls"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/certificate"
	"greengagedoor.example/greengagedoor/internal/process/standin/authority"
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func issue(a *authority.Authority, dir, ip string, lasts time.Duration, trusted ...*authority.Authority) certificate.Files {
	return must(a.Issue(dir, ip, lasts, trusted...))
}

// meet opens a link from one keeper to another and sends a byte each way. In TLS
// 1.3 the client learns of its refusal only from the first read.
func meet(from, to *certificate.Reloader) error {
	l := must(tls.Listen("tcp", "127.0.0.1:0", to.LinkServerConfig()))
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
	c, err := tls.Dial("tcp", l.Addr().String(), from.LinkClientConfig("127.0.0.1"))
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
	old, fresh := must(authority.New("old")), must(authority.New("fresh"))
	here, there := t.TempDir(), t.TempDir()
	const local, foreign, hour = "127.0.0.1", "127.0.0.2", time.Hour
	keeper := func(f certificate.Files) *certificate.Reloader {
		return must(certificate.New(f, func(error) {}))
	}
	tests := map[string]struct {
		from, to certificate.Files
		ok       bool
	}{
		"same authority":                {from: issue(old, t.TempDir(), local, hour, old), to: issue(old, t.TempDir(), local, hour, old), ok: true},
		"client of another authority":   {from: issue(fresh, t.TempDir(), local, hour, old), to: issue(old, t.TempDir(), local, hour, old)},
		"listener of another authority": {from: issue(old, t.TempDir(), local, hour, old), to: issue(fresh, t.TempDir(), local, hour, old)},
		"listener at another address":   {from: issue(old, t.TempDir(), local, hour, old), to: issue(old, t.TempDir(), foreign, hour, old)},
		"expired client":                {from: issue(old, t.TempDir(), local, -time.Minute, old), to: issue(old, t.TempDir(), local, hour, old)},
		"both authorities trusted":      {from: issue(fresh, t.TempDir(), local, hour, old, fresh), to: issue(old, t.TempDir(), local, hour, old, fresh), ok: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the link opens only between certified processes", t, func() {
				So(meet(keeper(tt.from), keeper(tt.to)) == nil, ShouldEqual, tt.ok)
			})
		})
	}
	Convey("an authority is replaced while the processes run", t, func() {
		a := keeper(issue(old, here, local, hour, old))
		b := keeper(issue(old, there, local, hour, old))
		So(meet(a, b), ShouldBeNil)
		issue(fresh, here, local, hour, fresh)
		a.Refresh()
		So(meet(a, b), ShouldNotBeNil)
		issue(fresh, there, local, hour, fresh)
		b.Refresh()
		So(meet(a, b), ShouldBeNil)
	})
}

// TestRefresh guards against a half-written file that takes a process off the
// network, and against a fault or a change that is not reported.
func TestRefresh(t *testing.T) {
	Convey("files that cannot be used leave the former ones in force", t, func() {
		dir, ca := t.TempDir(), must(authority.New("ca"))
		files := issue(ca, dir, "127.0.0.1", time.Hour, ca)
		var reports []error
		k := must(certificate.New(files, func(err error) { reports = append(reports, err) }))
		k.Refresh()
		So(reports, ShouldBeEmpty)
		for _, name := range []string{"cert.pem", "key.pem", "authorities.pem"} {
			saved := must(os.ReadFile(filepath.Join(dir, name)))
			So(os.WriteFile(filepath.Join(dir, name), saved[:10], 0o600), ShouldBeNil)
			k.Refresh()
			k.Refresh()
			So(meet(k, k), ShouldBeNil)
			So(os.WriteFile(filepath.Join(dir, name), saved, 0o600), ShouldBeNil)
		}
		So(reports, ShouldHaveLength, 3)
		issue(ca, dir, "127.0.0.1", time.Hour, ca)
		k.Refresh()
		So(reports, ShouldHaveLength, 4)
		So(reports[3], ShouldBeNil)
		So(os.Remove(filepath.Join(dir, "key.pem")), ShouldBeNil)
		_, err := certificate.New(files, func(error) {})
		So(err, ShouldNotBeNil)
	})
}
