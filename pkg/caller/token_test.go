package caller_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/pkg/caller"
)

// TestToken guards against a client that cannot reach entries with access
// control.
func TestToken(t *testing.T) {
	Convey("every request shows the token", t, func() {
		var shown []string
		entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			shown = append(shown, r.Header.Get("Authorization"))
			_, _ = w.Write([]byte(`{"state":"complete","results":[1]}`))
		}))
		defer entry.Close()
		plain, cleanup, err := caller.New(entry.URL)
		So(err, ShouldBeNil)
		defer cleanup()
		j, err := caller.NewJob("t", "k", json.RawMessage("1"))
		So(err, ShouldBeNil)
		for _, c := range []*caller.Client{plain, plain.WithToken("secret")} {
			_, err = c.Submit(t.Context(), j)
			So(err, ShouldBeNil)
		}
		So(shown, ShouldResemble, []string{"", "Bearer secret"})
	})
}
