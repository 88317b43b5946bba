package web_test

import (
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/web"
)

// TestCounterPage guards against an operators' page that differs from the table of counters.
func TestCounterPage(t *testing.T) {
	Convey("the page lists each counter with its meaning", t, func() {
		page, err := os.ReadFile("../../../docs/OPERATIONS.md")
		So(err, ShouldBeNil)
		So(web.Counters(), ShouldNotBeEmpty)
		for _, c := range web.Counters() {
			So(string(page), ShouldContainSubstring, "| `"+string(c)+"` | "+c.Meaning()+" |")
		}
	})
}
