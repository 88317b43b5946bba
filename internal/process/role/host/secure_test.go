package host_test

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/certificate"
	"greengagedoor.example/greengagedoor/internal/process/role/publisher/service"
	"greengagedoor.example/greengagedoor/internal/process/standin/authority"
)

func newReloader(t *testing.T, a *authority.Authority, authorities ...*authority.Authority) *certificate.Reloader {
	files := must(a.Issue(t.TempDir(), "127.0.0.1", time.Hour, authorities...))
	return must(certificate.New(files, func(error) {}))
}

// TestSecure guards against an entry and an agent that cannot communicate over TLS
// links, and against an entry that joins with a certificate of another authority.
func TestSecure(t *testing.T) {
	Convey("a job reaches its owner only over links with trusted certificates", t, func() {
		ours, foreign := must(authority.New("ours")), must(authority.New("foreign"))
		s := newStore(t)
		runAgent(t, newCommon("agent", s).WithCertificates(nil, newReloader(t, ours, ours)))
		pool := x509.NewCertPool()
		pool.AddCert(ours.Certificate())
		pool.AddCert(foreign.Certificate())
		client := &http.Client{
			Transport: &http.Transport{
				TLSClientConfig: &tls.Config{
					RootCAs: pool,
				},
			},
		}
		defer client.CloseIdleConnections()
		entry := func(name string, k *certificate.Reloader) *testEntry {
			return &testEntry{
				t:       t,
				url:     "https://" + runEntry(t, newCommon(name, s).WithCertificates(k, k)),
				client:  client,
				service: must(service.New(s, time.Now)),
			}
		}
		trusted := entry("good", newReloader(t, ours, ours))
		untrusted := entry("bad", newReloader(t, foreign, ours, foreign))
		status, _ := trusted.call("POST", "/v1/admin/apply", "", applyBody("k1", 0, newConfiguration(10, "boss")))
		So(status, ShouldEqual, 200)
		trusted.awaitVersion("", 1)
		reasonFrom := func(e *testEntry) any {
			_, d := e.call("GET", "/v1/teams/a/jobs/01890000-0000-7000-8000-000000000000?wait_ms=500", "", "")
			return d["reason"]
		}
		// Only the owner answers with unknown_key.
		for deadline := time.Now().Add(20 * time.Second); reasonFrom(trusted) != "unknown_key" && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		}
		So(reasonFrom(trusted), ShouldEqual, "unknown_key")
		// Versions also come over links. The untrusted entry has had as much time to
		// receive this one as the trusted entry.
		_, d := untrusted.call("GET", "/v1/admin/status", "", "")
		So(d["version_stored"], ShouldEqual, 1)
		So(d["version_here"], ShouldEqual, 0)
		So(reasonFrom(untrusted), ShouldNotEqual, "unknown_key")
	})
}
