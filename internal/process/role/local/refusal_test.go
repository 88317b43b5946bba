package local_test

import (
	"encoding/binary"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"
)

// keyAt returns a new key with the given time.
func keyAt(at time.Time) string {
	key := uuid.Must(uuid.NewV7())
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(at.UnixMilli()))
	copy(key[:6], ms[2:])
	return key.String()
}

// refusal is a request that the system must refuse, with the expected answer.
type refusal struct {
	method string
	path   string
	header map[string]string
	body   string
	status int
	reason string
	field  string
	notRun bool
}

const invalid = "invalid_request"

func newRefusal(method, path, body string, status int, reason, field string) refusal {
	return refusal{
		method: method,
		path:   path,
		header: jsonHeader,
		body:   body,
		status: status,
		reason: reason,
		field:  field,
	}
}

func (r refusal) withType(t string) refusal {
	r.header = map[string]string{
		"Content-Type": t,
	}
	return r
}

// withNotRun marks a refusal by the owner, which knows that no task ran.
func (r refusal) withNotRun() refusal {
	r.notRun = true
	return r
}

func submission(key, kind, tasks string) string {
	return `{"key":"` + key + `","kind":"` + kind + `","tasks":` + tasks + `}`
}

func refusals() map[string]refusal {
	key := keyAt(time.Now())
	const jobs = "/v1/teams/tegnestuen/jobs"
	many := "[" + strings.Repeat("1,", 1100) + "1]"
	large := `["` + strings.Repeat("x", 64<<10) + `"]`
	return map[string]refusal{
		"unknown_team":        newRefusal(http.MethodPost, "/v1/teams/nobody/jobs", submission(key, "log_sale", "[1]"), 404, "unknown_team", "team"),
		"long_team":           newRefusal(http.MethodPost, "/v1/teams/"+strings.Repeat("x", 65)+"/jobs", submission(key, "log_sale", "[1]"), 400, invalid, "team"),
		"unknown_kind":        newRefusal(http.MethodPost, jobs, submission(key, "unheard_of", "[1]"), 404, "unknown_kind", "kind"),
		"no_kind":             newRefusal(http.MethodPost, jobs, `{"key":"`+key+`","tasks":[1]}`, 400, invalid, "kind"),
		"too_many_tasks":      newRefusal(http.MethodPost, jobs, submission(key, "log_sale", many), 400, invalid, "tasks"),
		"large_payload":       newRefusal(http.MethodPost, jobs, submission(key, "log_sale", large), 400, invalid, "tasks"),
		"no_tasks":            newRefusal(http.MethodPost, jobs, submission(key, "log_sale", "[]"), 400, invalid, "tasks"),
		"tasks_of_other_type": newRefusal(http.MethodPost, jobs, submission(key, "log_sale", `"one"`), 400, invalid, "tasks"),
		"oversized_body":      newRefusal(http.MethodPost, jobs, submission(key, "log_sale", `["`+strings.Repeat("x", 9<<20)+`"]`), 413, invalid, "body"),
		"malformed_body":      newRefusal(http.MethodPost, jobs, `{"key":`, 400, invalid, "body"),
		"empty_body":          newRefusal(http.MethodPost, jobs, "", 400, invalid, "body"),
		"two_values":          newRefusal(http.MethodPost, jobs, submission(key, "log_sale", "[1]")+"{}", 400, invalid, "body"),
		"unknown_field":       newRefusal(http.MethodPost, jobs, `{"priority":1}`, 400, invalid, "priority"),
		"negative_deadline":   newRefusal(http.MethodPost, jobs, `{"key":"`+key+`","kind":"log_sale","deadline_ms":-1,"tasks":[1]}`, 400, invalid, "deadline_ms"),
		"past_deadline":       newRefusal(http.MethodPost, jobs, `{"key":"`+key+`","kind":"log_sale","deadline_ms":1,"tasks":[1]}`, 422, "deadline_passed", "deadline_ms").withNotRun(),
		"key_not_uuid":        newRefusal(http.MethodPost, jobs, submission("17", "log_sale", "[1]"), 400, invalid, "key"),
		"key_of_version_4":    newRefusal(http.MethodPost, jobs, submission(uuid.NewString(), "log_sale", "[1]"), 400, invalid, "key"),
		"expired_key":         newRefusal(http.MethodPost, jobs, submission(keyAt(time.Now().Add(-time.Hour)), "log_sale", "[1]"), 410, "key_expired", "key"),
		"future_key":          newRefusal(http.MethodPost, jobs, submission(keyAt(time.Now().Add(time.Minute)), "log_sale", "[1]"), 400, "key_in_future", "key"),
		"wrong_method":        newRefusal(http.MethodPut, jobs, submission(key, "log_sale", "[1]"), 405, invalid, "method"),
		"wrong_path":          newRefusal(http.MethodPost, "/v1/jobs", "", 404, invalid, "path"),
		"wrong_content_type":  newRefusal(http.MethodPost, jobs, submission(key, "log_sale", "[1]"), 415, invalid, "content_type").withType("text/plain"),
		"wrong_wait":          newRefusal(http.MethodPost, jobs+"?wait_ms=soon", submission(key, "log_sale", "[1]"), 400, invalid, "wait_ms"),
		"long_wait":           newRefusal(http.MethodPost, jobs+"?wait_ms=120001", submission(key, "log_sale", "[1]"), 400, invalid, "wait_ms"),
		"unknown_parameter":   newRefusal(http.MethodPost, jobs+"?urgent=1", submission(key, "log_sale", "[1]"), 400, invalid, "urgent"),
		"query_unknown_key":   newRefusal(http.MethodGet, jobs+"/"+key, "", 404, "unknown_key", "key"),
		"query_bad_key":       newRefusal(http.MethodGet, jobs+"/x", "", 400, invalid, "key"),
		"cancel_unknown_key":  newRefusal(http.MethodDelete, jobs+"/"+key, "", 404, "unknown_key", "key"),
	}
}

// TestRefusals guards against invalid input that is accepted or starts a task, and
// against a refusal that does not name the invalid field.
func TestRefusals(t *testing.T) {
	t.Parallel()
	s := start(t)
	for name, tt := range refusals() {
		t.Run(name, func(t *testing.T) {
			Convey("the request is refused and starts no task", t, func() {
				r := send(t, tt.method, s.Entries()[0]+tt.path, tt.header, tt.body)
				p := decodeProblem(t, r)
				So(r.status, ShouldEqual, tt.status)
				So(r.header.Get("Content-Type"), ShouldEqual, "application/problem+json")
				So(p.Reason, ShouldEqual, tt.reason)
				So(p.Field, ShouldEqual, tt.field)
				So(p.State, ShouldEqual, "refused")
				So(p.NotRun, ShouldEqual, tt.notRun)
				So(startedTasks(t, s), ShouldEqual, 0)
			})
		})
	}
}

// TestKeyConflict guards against a second body under a key that replaces the first
// one or gets its answer.
func TestKeyConflict(t *testing.T) {
	t.Parallel()
	s := start(t)
	Convey("another body under a key is refused and does not change the answer", t, func() {
		key := keyAt(time.Now())
		url := s.Entries()[0] + "/v1/teams/tegnestuen/jobs"
		first := send(t, http.MethodPost, url, jsonHeader, submission(key, "log_sale", `[{"echo":"a"}]`))
		So(first.status, ShouldEqual, 200)
		other := send(t, http.MethodPost, s.Entries()[1]+"/v1/teams/tegnestuen/jobs", jsonHeader, submission(key, "log_sale", `[{"echo":"b"}]`))
		So(other.status, ShouldEqual, 409)
		So(decodeProblem(t, other).Field, ShouldEqual, "key")
		So(send(t, http.MethodGet, url+"/"+key, nil, "").body, ShouldEqual, first.body)
		So(startedTasks(t, s), ShouldEqual, 1)
	})
}
