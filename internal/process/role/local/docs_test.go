package local_test

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/request/answer"
)

const apiPage = "../../../../docs/api.md"

// example is a curl line of the page with the expected status and words from the
// comment below it.
type example struct {
	line   string
	status string
	words  []string
}

func readExamples(page string) []example {
	var found []example
	lines := strings.Split(page, "\n")
	for i, l := range lines {
		if !strings.HasPrefix(l, "curl ") {
			continue
		}
		e := example{
			line: l,
		}
		if i+1 < len(lines) {
			if comment := strings.Fields(strings.TrimPrefix(lines[i+1], "# ")); len(comment) > 0 {
				e.status = comment[0]
				e.words = comment[1:]
			}
		}
		found = append(found, e)
	}
	return found
}

var (
	quoted      = regexp.MustCompile(`'[^']*'|"[^"]*"|\$\([^)]*\)|[^\s'"]+|\s+`)
	substituted = regexp.MustCompile(`\$\([^)]*\)|\$[A-Z_]+`)
)

// words splits a line as a shell does. It expands the variables in vars and replaces
// every command substitution by a new key.
func words(line string, vars map[string]string) []string {
	expand := func(s string) string {
		return substituted.ReplaceAllStringFunc(s, func(v string) string {
			if strings.HasPrefix(v, "$(") {
				return uuid.Must(uuid.NewV7()).String()
			}
			return vars[v[1:]]
		})
	}
	var out []string
	word, inWord := "", false
	for _, part := range quoted.FindAllString(line, -1) {
		switch {
		case strings.TrimSpace(part) == "":
			out = append(out, word)
			word, inWord = "", false
			continue
		case strings.HasPrefix(part, "'"):
			word += strings.Trim(part, "'")
		default:
			word += expand(strings.Trim(part, `"`))
		}
		inWord = true
	}
	if inWord {
		out = append(out, word)
	}
	return out
}

// sendCurl sends the request of a curl line.
func sendCurl(t *testing.T, line string, vars map[string]string) response {
	t.Helper()
	method, url, body := "", "", ""
	header := map[string]string{}
	w := words(line, vars)
	for i := 1; i < len(w); i++ {
		switch {
		case w[i] == "-s":
		case w[i] == "-X":
			i++
			method = w[i]
		case w[i] == "-H":
			i++
			name, value, _ := strings.Cut(w[i], ": ")
			header[name] = value
		case w[i] == "-d":
			i++
			body = w[i]
		case strings.HasPrefix(w[i], "http"):
			url = w[i]
		default:
			t.Fatalf("%q: unsupported argument %q", line, w[i])
		}
	}
	if method == "" && body != "" {
		method = "POST"
	}
	return send(t, method, url, header, body)
}

// TestCurlLines guards against curl lines on the page whose answer differs from the
// one that the page states.
func TestCurlLines(t *testing.T) {
	t.Parallel()
	page, err := os.ReadFile(apiPage)
	if err != nil {
		t.Fatal(err)
	}
	s := start(t)
	vars := map[string]string{
		"ENTRY":       s.Entries()[0],
		"OTHER_ENTRY": s.Entries()[1],
		"KEY":         uuid.Must(uuid.NewV7()).String(),
	}
	examples := readExamples(string(page))
	Convey("each line gets the answer below it", t, func() {
		So(len(examples), ShouldBeGreaterThan, 10)
		for _, e := range examples {
			r := sendCurl(t, e.line, vars)
			t.Log(e.line, r.status, r.body)
			So(fmt.Sprint(r.status), ShouldEqual, e.status)
			for _, w := range e.words {
				So(r.body, ShouldContainSubstring, `"`+w+`"`)
			}
		}
	})
}

// TestReasonTable guards against a reason that is missing on the page or has another
// meaning there than in the table of reasons.
func TestReasonTable(t *testing.T) {
	page, err := os.ReadFile(apiPage)
	if err != nil {
		t.Fatal(err)
	}
	Convey("the page has the row of each reason", t, func() {
		for _, r := range answer.Reasons() {
			if r.Reason() != answer.NoReason {
				So(string(page), ShouldContainSubstring, fmt.Sprintf("| `%s` | %d | %s |\n", r.Name(), r.Status(), r.Meaning()))
			}
		}
	})
}

// problem is the part of a refusal that the tests check.
type problem struct {
	State  string `json:"state"`
	Reason string `json:"reason"`
	Field  string `json:"field"`
	Detail string `json:"detail"`
	NotRun bool   `json:"not_run"`
}

func decodeProblem(t *testing.T, r response) problem {
	t.Helper()
	var p problem
	if err := json.Unmarshal([]byte(r.body), &p); err != nil {
		t.Fatalf("%s: %v", r.body, err)
	}
	return p
}
