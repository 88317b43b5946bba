package event_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/event"
)

// TestPage guards against an operators' page that differs from the table of events.
func TestPage(t *testing.T) {
	Convey("the page lists each event with its meaning", t, func() {
		page, err := os.ReadFile("../../../docs/OPERATIONS.md")
		So(err, ShouldBeNil)
		for _, n := range event.Names() {
			So(string(page), ShouldContainSubstring, "| `"+string(n)+"` | "+n.Meaning()+" |")
			So(regexp.MustCompile(`^[a-z][a-z0-9_]*$`).MatchString(string(n)), ShouldBeTrue)
			So(n.Meaning(), ShouldNotBeBlank)
		}
		So(strings.Count(string(page), "\n| `"), ShouldBeGreaterThanOrEqualTo, len(event.Names()))
	})
}
