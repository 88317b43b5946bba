package caller_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/pkg/caller"
)

// TestToken guards against a client that sends no token to entries with access
// control, or sends one that is not set.
func TestToken(t *testing.T) {
	Convey("requests contain the token if one is set", t, func() {
		var headers []string
		entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			headers = append(headers, r.Header.Get("Authorization"))
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
		So(headers, ShouldResemble, []string{"", "Bearer secret"})
	})
}
