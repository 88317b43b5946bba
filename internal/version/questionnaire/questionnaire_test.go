package questionnaire_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/version/configuration"
	"greengagedoor.example/greengagedoor/internal/version/questionnaire"
)

const samples = "../../../samples/"

func sample(t testing.TB, name string) questionnaire.Answers {
	t.Helper()
	data, err := os.ReadFile(samples + name + ".ini")
	if err != nil {
		t.Fatal(err)
	}
	a, err := questionnaire.Parse(name+".ini", data)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// TestSamples guards against a change of the configurations that the users' answers
// give, and against a derived value without explanation.
func TestSamples(t *testing.T) {
	for _, name := range []string{"tegnestuen", "lakeshore"} {
		t.Run(name, func(t *testing.T) {
			Convey("the answers give the stored configuration and explanations", t, func() {
				c, why, err := questionnaire.Generate(sample(t, name))
				So(err, ShouldBeNil)
				explained := map[string]bool{}
				var lines []string
				for _, e := range why {
					explained[e.Place()+": "+e.Field()] = true
					lines = append(lines, e.String())
				}
				for _, v := range configuration.Show(c) {
					value, _, _ := strings.Cut(v, " = ")
					So(strings.HasPrefix(v, "worker ") || explained[value], ShouldBeTrue)
				}
				data, err := configuration.Encode(c)
				So(err, ShouldBeNil)
				g := goldie.New(t, goldie.WithFixtureDir(samples), goldie.WithNameSuffix(""))
				g.Assert(t, name+".json", data)
				g.Assert(t, name+".explained.txt", []byte(strings.Join(lines, "\n")+"\n"))
			})
		})
	}
}

// TestPage guards against a page that differs from the table of questions.
func TestPage(t *testing.T) {
	Convey("docs/questionnaire.md equals the generated page", t, func() {
		goldie.New(t, goldie.WithFixtureDir("../../../docs"), goldie.WithNameSuffix("")).
			Assert(t, "questionnaire.md", []byte(questionnaire.Page()))
	})
}

// TestContradictions guards against a check that accepts a contradiction or reports
// only the first one.
func TestContradictions(t *testing.T) {
	const head = "[team a]\nshare = 60%\n"
	kind := func(name string, answers ...string) string {
		base := map[string]string{
			"callers": "x", "urgency": "low", "harm_of_lateness": "low", "harm_of_loss": "low",
			"harm_of_duplication": "high", "run_time": "100ms", "commitment": "1s",
		}
		text := "[kind " + name + "]\n"
		for _, a := range answers {
			key, _, _ := strings.Cut(a, " = ")
			delete(base, key)
			text += a + "\n"
		}
		for k, v := range base {
			text += k + " = " + v + "\n"
		}
		return text
	}
	tests := map[string]struct {
		text string
		want []string
	}{
		"sound":                           {text: head + kind("a/x")},
		"commitment shorter than run":     {text: head + kind("a/x", "run_time = 2s"), want: []string{`a/x: commitment is "1s", allowed: at least the run time of 2s`}},
		"quotas over the whole":           {text: head + "[team b]\nshare = 50%\n" + kind("a/x"), want: []string{"f.ini: sum of share is \"110% (a 60% on line 2, b 50% on line 4)\", allowed: at most 100%"}},
		"all kinds most urgent":           {text: head + kind("a/x", "urgency = critical") + kind("a/y", "urgency = critical"), want: []string{"f.ini:1: team a: urgency of all kinds"}},
		"unrepeatable with retries":       {text: head + kind("a/x", "retries = 3"), want: []string{`f.ini:4: kind a/x: retries is "3", allowed: 0, since harm_of_duplication is high`}},
		"fits no known worker":            {text: "[worker w]\ncores = 4\nmemory = 1GiB\n" + head + kind("a/x", "runs_on = worker", "cores = 8"), want: []string{`f.ini:7: kind a/x: runs_on is "8 cores, 0 bytes and 0 accelerators", allowed: what fits one of the known workers: w with 4 cores`}},
		"no known worker":                 {text: head + kind("a/x", "runs_on = worker"), want: []string{"no kind on workers, since no worker is known"}},
		"resources on a target":           {text: head + kind("a/x", "cores = 8"), want: []string{`f.ini:4: cores is "8", allowed: 0, since kind a/x runs on targets`}},
		"foreign home region":             {text: head + "home_region = 2\n" + kind("a/x"), want: []string{`f.ini:3: team a: home_region is "2", allowed: 0 to 0`}},
		"kind without team":               {text: head + kind("b/x"), want: []string{`f.ini:3: section is "kind b/x", allowed: a kind of a team with a section [team b]`}},
		"no team":                         {text: "[installation]\n", want: []string{"at least one team"}},
		"unknown answer":                  {text: head + "shares = 5\n", want: []string{`f.ini:3: shares is "5", allowed: in section team: share, home_region`}},
		"answer twice":                    {text: head + "share = 5%\n", want: []string{"f.ini:3: share is \"5%\", allowed: one answer; the first is on line 2"}},
		"section twice":                   {text: head + head, want: []string{"f.ini:3: section is \"[team a]\", allowed: one section of this name"}},
		"unknown section":                 {text: head + "[squad a]\nx = 1\n", want: []string{"f.ini:3: section is \"[squad a]\""}},
		"missing answer":                  {text: "[team a]\n", want: []string{`f.ini:1: team a: share is "", allowed: percentage`}},
		"line without answer":             {text: head + "nonsense\n", want: []string{`f.ini:3: line is "nonsense"`}},
		"answer before section":           {text: "share = 1%\n" + head, want: []string{`f.ini:1: line is "share = 1%"`}},
		"unusable beside a contradiction": {text: head + kind("a/x", "urgency = now") + kind("a/y", "retries = 1"), want: []string{`urgency is "now", allowed: critical, high, normal, low`, `kind a/y: retries is "1"`}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("exactly the expected contradictions are reported", t, func() {
				err := questionnaire.Check("f.ini", []byte(tt.text))
				if len(tt.want) == 0 {
					So(err, ShouldBeNil)
					return
				}
				So(err, ShouldNotBeNil)
				So(strings.Split(err.Error(), "\n"), ShouldHaveLength, len(tt.want))
				for _, w := range tt.want {
					So(err.Error(), ShouldContainSubstring, w)
				}
			})
		})
	}
}

// TestAsk guards against answers at the terminal that are encoded as an invalid
// file, and against invalid answers that are accepted.
func TestAsk(t *testing.T) {
	Convey("answers at the terminal give a valid file", t, func() {
		input := strings.Repeat("\n", 6) + "\n" + "a\n50%\n\n\n\n\n\n" +
			"X Y\nx\ncallers, # and ; more\nsoon\nlow\nlow\nlow\nlow\n100ms\n" + strings.Repeat("\n", 8) + "1s\n\n" + "\n"
		var out bytes.Buffer
		a, err := questionnaire.Ask(strings.NewReader(input), &out)
		So(err, ShouldBeNil)
		So(out.String(), ShouldContainSubstring, `"soon" is invalid; allowed: critical`)
		So(out.String(), ShouldContainSubstring, `"X Y" is invalid`)
		data := a.Encode()
		So(string(data), ShouldContainSubstring, "callers = callers, # and ; more\nurgency = low\n")
		So(questionnaire.Check("answers", data), ShouldBeNil)
		_, err = questionnaire.Ask(strings.NewReader("\n"), &out)
		So(err, ShouldNotBeNil)
	})
}

// TestDiff guards against a changed answer whose effect is not reported.
func TestDiff(t *testing.T) {
	Convey("a changed answer is reported as a change in behaviour", t, func() {
		before := sample(t, "lakeshore")
		text := strings.Replace(string(before.Encode()), "urgency = normal", "urgency = high", 1)
		after, err := questionnaire.Parse("new.ini", []byte(text))
		So(err, ShouldBeNil)
		changes, err := questionnaire.Diff(before, after)
		So(err, ShouldBeNil)
		So(fmt.Sprint(changes), ShouldEqual, "[kind lakeshore/clip_preview: urgency from normal to high: place among all waiting work]")
	})
}

// FuzzParse guards against input that makes the parser panic, and against answers
// that parsing and encoding change.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"tegnestuen", "lakeshore"} {
		f.Add(sample(f, name).Encode())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_ = questionnaire.Check("f", data)
		a, err := questionnaire.Parse("f", data)
		if err != nil {
			return
		}
		once := a.Encode()
		b, err := questionnaire.Parse("f", once)
		if err != nil || !bytes.Equal(b.Encode(), once) {
			t.Fatalf("error %v; encoded as %q, then as %q", err, once, b.Encode())
		}
	})
}

// twoYearAnswers returns answers of the size expected in two years: 260 teams with
// 20 kinds each.
func twoYearAnswers() []byte {
	var b strings.Builder
	for i := range 260 {
		fmt.Fprintf(&b, "[team team_%03d]\nshare = 0.38%%\n", i)
		for j := range 20 {
			fmt.Fprintf(&b, "[kind team_%03d/kind_%02d]\ncallers = c\nurgency = %s\nharm_of_lateness = low\nharm_of_loss = low\nharm_of_duplication = low\nrun_time = 100ms\nspread = 3\npayload = 4KiB\ncommitment = 2s\nretries = 1\n",
				i, j, []string{"critical", "high", "normal", "low"}[j%4])
		}
	}
	return []byte(b.String())
}

// BenchmarkGenerateTwoYears measures generation with its check and fails above
// 100 ms.
func BenchmarkGenerateTwoYears(b *testing.B) {
	a, err := questionnaire.Parse("f", twoYearAnswers())
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, _, err := questionnaire.Generate(a); err != nil {
			b.Fatal(err)
		}
	}
	if took := b.Elapsed() / time.Duration(b.N); took > 100*time.Millisecond {
		b.Fatalf("generation and check took %v, want at most 100 ms", took)
	}
}

// BenchmarkParseTwoYears measures the parsing of the answers.
func BenchmarkParseTwoYears(b *testing.B) {
	data := twoYearAnswers()
	for b.Loop() {
		if _, err := questionnaire.Parse("f", data); err != nil {
			b.Fatal(err)
		}
	}
}
