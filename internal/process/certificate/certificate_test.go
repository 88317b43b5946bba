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

func issue(a *authority.Authority, dir, ip string, validity time.Duration, trusted ...*authority.Authority) certificate.Files {
	return must(a.Issue(dir, ip, validity, trusted...))
}

// connect opens a link from one process to another and sends a byte from server to
// client. In TLS 1.3 the client learns of its rejection only from the first read.
func connect(from, to *certificate.Reloader) error {
	l := must(tls.Listen("tcp", "127.0.0.1:0", to.LinkServerConfig()))
	defer func() { _ = l.Close() }()
	serverDone := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			defer func() { _ = c.Close() }()
			_, err = c.Write([]byte{1})
		}
		serverDone <- err
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), from.LinkClientConfig("127.0.0.1"))
	if err == nil {
		defer func() { _ = c.Close() }()
		_, err = c.Read(make([]byte, 1))
	}
	if serverErr := <-serverDone; err == nil {
		return serverErr
	}
	return err
}

// TestLinks guards against a link with a process that no trusted authority
// certified, and against a certificate that is not replaced.
func TestLinks(t *testing.T) {
	old, replacement := must(authority.New("old")), must(authority.New("fresh"))
	dirA, dirB := t.TempDir(), t.TempDir()
	const localIP, foreignIP, hour = "127.0.0.1", "127.0.0.2", time.Hour
	reloader := func(f certificate.Files) *certificate.Reloader {
		return must(certificate.New(f, func(error) {}))
	}
	tests := map[string]struct {
		from, to certificate.Files
		ok       bool
	}{
		"same authority":                {from: issue(old, t.TempDir(), localIP, hour, old), to: issue(old, t.TempDir(), localIP, hour, old), ok: true},
		"client of another authority":   {from: issue(replacement, t.TempDir(), localIP, hour, old), to: issue(old, t.TempDir(), localIP, hour, old)},
		"listener of another authority": {from: issue(old, t.TempDir(), localIP, hour, old), to: issue(replacement, t.TempDir(), localIP, hour, old)},
		"listener at another address":   {from: issue(old, t.TempDir(), localIP, hour, old), to: issue(old, t.TempDir(), foreignIP, hour, old)},
		"expired client":                {from: issue(old, t.TempDir(), localIP, -time.Minute, old), to: issue(old, t.TempDir(), localIP, hour, old)},
		"both authorities trusted":      {from: issue(replacement, t.TempDir(), localIP, hour, old, replacement), to: issue(old, t.TempDir(), localIP, hour, old, replacement), ok: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the link opens only between certified processes", t, func() {
				So(connect(reloader(tt.from), reloader(tt.to)) == nil, ShouldEqual, tt.ok)
			})
		})
	}
	Convey("an authority is replaced while the processes run", t, func() {
		a := reloader(issue(old, dirA, localIP, hour, old))
		b := reloader(issue(old, dirB, localIP, hour, old))
		So(connect(a, b), ShouldBeNil)
		issue(replacement, dirA, localIP, hour, replacement)
		a.Refresh()
		So(connect(a, b), ShouldNotBeNil)
		issue(replacement, dirB, localIP, hour, replacement)
		b.Refresh()
		So(connect(a, b), ShouldBeNil)
	})
}

// TestRefresh guards against a partially written file that disconnects a process from
// the network, and against a fault or a change that is not reported.
func TestRefresh(t *testing.T) {
	Convey("invalid files leave the previous ones active", t, func() {
		dir, ca := t.TempDir(), must(authority.New("ca"))
		files := issue(ca, dir, "127.0.0.1", time.Hour, ca)
		var reports []error
		r := must(certificate.New(files, func(err error) { reports = append(reports, err) }))
		r.Refresh()
		So(reports, ShouldBeEmpty)
		for _, name := range []string{"cert.pem", "key.pem", "authorities.pem"} {
			saved := must(os.ReadFile(filepath.Join(dir, name)))
			So(os.WriteFile(filepath.Join(dir, name), saved[:10], 0o600), ShouldBeNil)
			r.Refresh()
			r.Refresh()
			So(connect(r, r), ShouldBeNil)
			So(os.WriteFile(filepath.Join(dir, name), saved, 0o600), ShouldBeNil)
		}
		So(reports, ShouldHaveLength, 3)
		issue(ca, dir, "127.0.0.1", time.Hour, ca)
		r.Refresh()
		So(reports, ShouldHaveLength, 4)
		So(reports[3], ShouldBeNil)
		So(os.Remove(filepath.Join(dir, "key.pem")), ShouldBeNil)
		_, err := certificate.New(files, func(error) {})
		So(err, ShouldNotBeNil)
	})
}
