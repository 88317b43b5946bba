package route_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/version/route"
)

// rule is a route as the test chooses by itself.
type rule struct {
	name   string
	host   string
	prefix string
}

// expected returns the name of the rule with the longest prefix, and of two the first.
func expected(rules []rule, host, path string) string {
	best, found := rule{}, false
	for _, r := range rules {
		if (r.host == "" || r.host == strings.ToLower(host)) && strings.HasPrefix(path, r.prefix) && (!found || len(r.prefix) > len(best.prefix)) {
			best, found = r, true
		}
	}
	return best.name
}

func newVersion(t testing.TB, rules []rule) *route.Version {
	var routes []route.Route
	for _, x := range rules {
		r, err := route.NewRoute(x.name, x.host, x.prefix, "service")
		if err != nil {
			t.Fatal(err)
		}
		routes = append(routes, r)
	}
	v, err := route.NewVersion(1, routes, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// TestMatch guards against a request that goes to another route than the one with the longest prefix.
func TestMatch(t *testing.T) {
	rules := []rule{
		{name: "own", host: "h.example", prefix: "/a/"},
		{name: "shared_later", prefix: "/a/"},
		{name: "shared", prefix: "/b/"},
		{name: "own_later", host: "h.example", prefix: "/b/"},
		{name: "long", host: "h.example", prefix: "/a/b/"},
		{name: "root", prefix: "/"},
	}
	tests := map[string]struct {
		host string
		path string
		want string
	}{
		"own_first":         {host: "h.example", path: "/a/1", want: "own"},
		"any_host":          {host: "o.example", path: "/a/1", want: "shared_later"},
		"shared_first":      {host: "h.example", path: "/b/1", want: "shared"},
		"longest_prefix":    {host: "h.example", path: "/a/b/1", want: "long"},
		"longer_than_path":  {host: "h.example", path: "/a/b", want: "own"},
		"host_in_capitals":  {host: "H.Example", path: "/a/1", want: "own"},
		"shortest_prefix":   {host: "h.example", path: "/c", want: "root"},
		"path_of_no_prefix": {host: "h.example", path: "", want: ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the route with the longest prefix is found", t, func() {
				r, _ := newVersion(t, rules).Match(tt.host, tt.path)
				So(r.Name(), ShouldEqual, tt.want)
				So(expected(rules, tt.host, tt.path), ShouldEqual, tt.want)
			})
		})
	}
	t.Run("random", func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 1))
		text := func(n int) string {
			b := make([]byte, random.IntN(n))
			for i := range b {
				b[i] = "ab/"[random.IntN(3)]
			}
			return string(b)
		}
		hosts := []string{"", "h", "o"}
		for range 200 {
			known := map[string]bool{}
			var rules []rule
			for i := range 1 + random.IntN(12) {
				x := rule{
					name:   fmt.Sprint(i),
					host:   hosts[random.IntN(3)],
					prefix: "/" + text(4),
				}
				if !known[x.host+x.prefix] {
					known[x.host+x.prefix] = true
					rules = append(rules, x)
				}
			}
			v := newVersion(t, rules)
			for range 50 {
				host, path := hosts[random.IntN(3)], "/"+text(6)
				if r, _ := v.Match(host, path); r.Name() != expected(rules, host, path) {
					t.Fatalf("host %q, path %q: got %q, want %q of %v", host, path, r.Name(), expected(rules, host, path), rules)
				}
			}
		}
	})
}

// BenchmarkMatch measures the time of a lookup by the number of routes.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{45, 1445, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var rules []rule
			for i := range n {
				rules = append(rules, rule{
					name:   fmt.Sprint(i),
					host:   fmt.Sprintf("h%d.example", i%20),
					prefix: fmt.Sprintf("/r%07d/", i),
				})
			}
			v := newVersion(b, rules)
			last := rules[n-1]
			b.ResetTimer()
			for range b.N {
				v.Match(last.host, last.prefix+"1")
			}
		})
	}
}
