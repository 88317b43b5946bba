package host_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
	"greengagedoor.example/greengagedoor/internal/process/role/host"
	"greengagedoor.example/greengagedoor/internal/process/role/publisher"
	"greengagedoor.example/greengagedoor/internal/process/role/publisher/service"
	"greengagedoor.example/greengagedoor/internal/process/standin/keyvalue"
	"greengagedoor.example/greengagedoor/internal/process/store"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
	"greengagedoor.example/greengagedoor/internal/version/questionnaire"
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func hash(token string) string {
	return fmt.Sprintf("%x", sha256.Sum256([]byte(token)))
}

// newConfiguration returns a configuration with two teams, whose tokens are the team
// name and the access level. The limit tasks makes versions differ; operator is the
// operator token of the installation.
func newConfiguration(tasks int, operator string) *configuration.Configuration {
	text := fmt.Sprintf("[installation]\njob_tasks = %d\noperator_tokens = %s\nreader_tokens = %s\n", tasks, hash(operator), hash("look"))
	for _, t := range []string{"a", "b"} {
		text += fmt.Sprintf("[team %s]\nshare = 40%%\ncaller_tokens = %s\noperator_tokens = %s\nreader_tokens = %s\n", t, hash(t+"-call"), hash(t+"-operate"), hash(t+"-read"))
		text += fmt.Sprintf("[kind %s/x]\ncallers = c\nurgency = low\nharm_of_lateness = low\nharm_of_loss = low\nharm_of_duplication = low\nrun_time = 1s\ncommitment = 2s\n", t)
	}
	c, _, err := questionnaire.Generate(must(questionnaire.Parse("f", []byte(text))))
	return must(c, err)
}

// testEntry is a running entry with a stand-in store.
type testEntry struct {
	t       *testing.T
	url     string
	client  *http.Client
	service *service.Service
}

func newTestEntry(t *testing.T, access string) *testEntry {
	t.Helper()
	s := newStore(t)
	// An entry receives versions from the directory, which runs in an agent.
	runAgent(t, newCommon("agent", s))
	entry := must(newCommon("entry", s).WithAccess(access))
	return &testEntry{
		t:       t,
		url:     "http://" + runEntry(t, entry),
		client:  http.DefaultClient,
		service: must(service.New(s, time.Now)),
	}
}

// newStore runs a stand-in store until the test ends.
func newStore(t *testing.T) *store.Store {
	ctx, cancel := context.WithCancel(context.Background())
	kv := must(keyvalue.New(time.Now))
	e := echo.New()
	kv.Register(e)
	server := httptest.NewServer(e)
	go func() { _ = kv.Run(ctx) }()
	s, cleanStore, err := store.New(server.URL, time.Second)
	So(err, ShouldBeNil)
	t.Cleanup(func() {
		cancel()
		cleanStore()
		server.Close()
	})
	return s
}

func newCommon(name string, s *store.Store) host.Common {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return must(host.NewCommon(must(identity.NewProcess(name, 1)), 0, 1, 64, "a", "127.0.0.1:0", "127.0.0.1:0", s, logrus.NewEntry(log)))
}

// runEntry runs an entry until the test ends and returns its address.
func runEntry(t *testing.T, c host.Common) string {
	entry, cleanup, err := host.NewEntry(c)
	So(err, ShouldBeNil)
	run(t, entry.Run, cleanup)
	return entry.HTTPAddress()
}

func runAgent(t *testing.T, c host.Common) {
	a, cleanup, err := host.NewAgent(c, "", agent.Worker{}, 1)
	So(err, ShouldBeNil)
	run(t, a.Run, cleanup)
}

func run(t *testing.T, f func(context.Context) error, cleanup func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		cleanup()
	})
}

func (e *testEntry) call(method, path, token, body string) (int, map[string]any) {
	e.t.Helper()
	r := must(http.NewRequest(method, e.url+path, strings.NewReader(body)))
	r.Header.Set("Content-Type", "application/json")
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := e.client.Do(r)
	if err != nil {
		e.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	d := map[string]any{}
	_ = json.NewDecoder(resp.Body).Decode(&d)
	if resp.StatusCode >= 400 && resp.Header.Get("Content-Type") != "application/problem+json" {
		e.t.Errorf("%s %s: status %d has content type %s", method, path, resp.StatusCode, resp.Header.Get("Content-Type"))
	}
	return resp.StatusCode, d
}

// awaitVersion waits until the version is active at the entry.
func (e *testEntry) awaitVersion(token string, version float64) {
	e.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if status, d := e.call("GET", "/v1/admin/status", token, ""); status == 200 && d["version_here"] == version {
			return
		}
	}
	e.t.Fatalf("version %v is not active at the entry after 10 s", version)
}

func applyBody(key string, base int, c *configuration.Configuration) string {
	return fmt.Sprintf(`{"key":%q,"base":%d,"configuration":%s}`, key, base, must(configuration.Encode(c)))
}

// TestSpread guards against a status without the number of processes in which a
// version is active.
func TestSpread(t *testing.T) {
	Convey("agent and entry report the version within 10 s", t, func() {
		e := newTestEntry(t, host.AccessOff)
		status, _ := e.call("POST", "/v1/admin/apply", "", applyBody("k1", 0, newConfiguration(10, "boss")))
		So(status, ShouldEqual, 200)
		var rollout map[string]any
		for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			_, d := e.call("GET", "/v1/admin/status", "", "")
			rollout, _ = d["spread"].(map[string]any)
			if rollout["version"] == 1.0 && rollout["processes_in_force"] == 2.0 {
				break
			}
		}
		So(rollout, ShouldResemble, map[string]any{
			"version":            1.0,
			"processes_in_force": 2.0,
			"processes":          2.0,
		})
	})
}

// TestAccess guards against a token that grants more access than configured, and
// against tokens that cannot be replaced without a restart.
func TestAccess(t *testing.T) {
	Convey("each token grants only its access", t, func() {
		e := newTestEntry(t, host.AccessOn)
		status, d := e.call("GET", "/v1/admin/status", "boss", "")
		So(status, ShouldEqual, 503)
		So(d["field"], ShouldEqual, "authorization")
		r, err := e.service.Execute(context.Background(), publisher.NewApply("k0", "ann", 0, newConfiguration(10, "boss")))
		So(err, ShouldBeNil)
		So(r.State(), ShouldEqual, publisher.Applied)
		e.awaitVersion("boss", 1)
		const job = "/jobs/01890000-0000-7000-8000-000000000000"
		// An admitted request reaches the entry's duty. Its status depends on whether the
		// shards have an owner yet.
		const admitted = 0
		tests := map[string]struct {
			method, path, token string
			status              int
		}{
			"no token":                        {"GET", "/v1/admin/status", "", 401},
			"unknown token":                   {"GET", "/v1/admin/status", "x", 403},
			"team token for the installation": {"GET", "/v1/admin/history", "a-operate", 403},
			"dump without token":              {"GET", "/debug/dump", "", 401},
			"dump with team token":            {"GET", "/debug/vars", "a-operate", 403},
			"dump with token":                 {"GET", "/debug/vars", "look", 200},
			"reader reads history":            {"GET", "/v1/admin/history", "look", 200},
			"reader applies a change":         {"POST", "/v1/admin/apply", "look", 403},
			"team operator drains a target":   {"PUT", "/v1/admin/targets/t/drain", "a-operate", 403},
			"caller reads the teams":          {"GET", "/v1/admin/teams", "a-call", 403},
			"own job without token":           {"GET", "/v1/teams/a" + job, "", 401},
			"own job":                         {"GET", "/v1/teams/a" + job, "a-read", admitted},
			"job of another team":             {"GET", "/v1/teams/b" + job, "a-call", 403},
			"reader cancels":                  {"DELETE", "/v1/teams/a" + job, "a-read", 403},
			"installation token for a job":    {"GET", "/v1/teams/a" + job, "boss", 403},
			"unknown team":                    {"GET", "/v1/teams/zzz" + job, "a-call", 403},
		}
		for name, tt := range tests {
			status, d := e.call(tt.method, tt.path, tt.token, "")
			So(d["reason"] == "not_allowed", ShouldEqual, status == 401 || status == 403)
			if tt.status == admitted && (d["reason"] == "unknown_key" || d["reason"] == "unavailable") {
				status = admitted
			}
			So(fmt.Sprint(name, " ", status), ShouldEqual, fmt.Sprint(name, " ", tt.status))
		}
		_, d = e.call("GET", "/v1/admin/teams", "a-read", "")
		So(d["teams"], ShouldHaveLength, 1)
		_, d = e.call("GET", "/v1/admin/kinds", "boss", "")
		So(d["kinds"], ShouldHaveLength, 2)
		status, _ = e.call("POST", "/v1/admin/apply", "boss", applyBody("k1", 1, newConfiguration(10, "chief")))
		So(status, ShouldEqual, 200)
		e.awaitVersion("chief", 2)
		status, _ = e.call("GET", "/v1/admin/status", "boss", "")
		So(status, ShouldEqual, 403)
	})
}

// TestAdmin guards against changes that operators cannot make or repeat over HTTP, and
// against refusals that do not name the invalid field.
func TestAdmin(t *testing.T) {
	Convey("an entry on loopback needs no tokens", t, func() {
		e := newTestEntry(t, host.AccessAuto)
		status, d := e.call("POST", "/v1/admin/apply", "", applyBody("k1", 0, newConfiguration(10, "boss")))
		So(status, ShouldEqual, 200)
		So(d["version"], ShouldEqual, 1)
		e.awaitVersion("", 1)
		Convey("changes build on each other and are idempotent by key", func() {
			for range 2 {
				status, d = e.call("POST", "/v1/admin/apply", "", applyBody("k2", 1, newConfiguration(20, "boss")))
				So(status, ShouldEqual, 200)
				So(d["version"], ShouldEqual, 2)
			}
			So(d["repeated"], ShouldEqual, true)
			status, d = e.call("POST", "/v1/admin/apply", "", applyBody("k3", 1, newConfiguration(30, "boss")))
			So(status, ShouldEqual, 409)
			So(d["field"], ShouldEqual, "base")
			So(d["current"], ShouldEqual, 2)
			So(fmt.Sprint(d["changes"]), ShouldContainSubstring, "max_tasks")
			status, d = e.call("POST", "/v1/admin/rollback", "", `{"key":"k4","base":2,"to":1}`)
			So(status, ShouldEqual, 200)
			So(d["version"], ShouldEqual, 3)
			status, d = e.call("PUT", "/v1/admin/targets/t1/drain", "", `{"key":"k5"}`)
			So(status, ShouldEqual, 200)
			So(d["version"], ShouldEqual, 4)
			e.awaitVersion("", 4)
			_, d = e.call("GET", "/v1/admin/status", "", "")
			So(fmt.Sprint(d["drained"]), ShouldEqual, "[t1]")
			status, _ = e.call("DELETE", "/v1/admin/targets/t1/drain", "", `{"key":"k6"}`)
			So(status, ShouldEqual, 200)
			_, d = e.call("GET", "/v1/admin/diff?from=1&to=2", "", "")
			So(d["changes"], ShouldHaveLength, 1)
			_, d = e.call("GET", "/v1/admin/history", "", "")
			So(d["history"], ShouldHaveLength, 6)
			_, d = e.call("GET", "/v1/admin/versions", "", "")
			So(d["versions"], ShouldHaveLength, 5)
			_, d = e.call("GET", "/v1/admin/versions/2", "", "")
			So(d["version"], ShouldEqual, 2)
		})
		Convey("refusals name the field", func() {
			overcommitted := strings.Replace(applyBody("k2", 1, newConfiguration(20, "boss")), `"share":0.4`, `"share":0.9`, 1)
			invalid := strings.Replace(applyBody("k2", 1, newConfiguration(20, "boss")), `"share":0.4`, `"share":1.4`, 1)
			tests := map[string]struct {
				method, path, body, field string
				status                    int
			}{
				"no key":           {"POST", "/v1/admin/apply", `{"base":1}`, "key", 400},
				"no base":          {"POST", "/v1/admin/apply", `{"key":"k"}`, "base", 400},
				"unknown field":    {"POST", "/v1/admin/apply", `{"kez":"k"}`, "kez", 400},
				"wrong type":       {"POST", "/v1/admin/rollback", `{"to":"x"}`, "to", 400},
				"no JSON":          {"POST", "/v1/admin/apply", `x`, "body", 400},
				"no configuration": {"POST", "/v1/admin/apply", `{"key":"k","base":1}`, "configuration", 400},
				"contradiction":    {"POST", "/v1/admin/apply", overcommitted, "configuration", 422},
				"invalid value":    {"POST", "/v1/admin/apply", invalid, "configuration", 422},
				"no such version":  {"POST", "/v1/admin/rollback", `{"key":"k","base":1,"to":9}`, "to", 404},
				"invalid version":  {"GET", "/v1/admin/versions/x", "", "version", 400},
				"missing version":  {"GET", "/v1/admin/diff?from=1&to=9", "", "to", 404},
				"invalid limit":    {"GET", "/v1/admin/history?limit=0", "", "limit", 400},
				"no drain key":     {"PUT", "/v1/admin/targets/t/drain", `{}`, "key", 400},
			}
			for name, tt := range tests {
				status, d := e.call(tt.method, tt.path, "", tt.body)
				So(fmt.Sprint(name, " ", status, " ", d["field"]), ShouldEqual, fmt.Sprint(name, " ", tt.status, " ", tt.field))
			}
		})
	})
}
