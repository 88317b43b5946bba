package web

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestFraming guards against a request boundary that differs from the one of net/http, however the bytes arrive.
func TestFraming(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all strings.Builder
		n := rapid.IntRange(0, 5).Draw(t, "requests")
		for range n {
			all.WriteString(drawRequest(t))
		}
		text := all.String()
		cut := rapid.IntRange(0, len(text)).Draw(t, "cut")
		f := &framing{}
		for rest := []byte(text[:cut]); len(rest) > 0; {
			k := rapid.IntRange(1, len(rest)).Draw(t, "part")
			f.read(rest[:k])
			rest = rest[k:]
		}
		if want := wholeRequests(text[:cut]); f.whole != want {
			t.Fatalf("%d whole requests in %q, want %d", f.whole, text[:cut], want)
		}
		if f.begun < f.whole || f.begun > f.whole+1 {
			t.Fatalf("%d begun and %d whole requests in %q", f.begun, f.whole, text[:cut])
		}
	})
}

func drawRequest(t *rapid.T) string {
	body := rapid.StringMatching(`[a-z\r\n]{0,20}`).Draw(t, "body")
	filler := "X-Filler: " + strings.Repeat("x", rapid.IntRange(0, 2*maxKeptLine).Draw(t, "filler")) + "\r\n"
	head := "POST /a HTTP/1.1\r\nHost: a\r\n" + filler
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		return head + "\r\n"
	case 1:
		return head + fmt.Sprintf("content-length: %d\r\n\r\n%s", len(body), body)
	}
	chunks := ""
	if body != "" {
		chunks = fmt.Sprintf("%x;name=value\r\n%s\r\n", len(body), body)
	}
	return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n" + rapid.SampledFrom([]string{"", "X-Trailer: a\r\n"}).Draw(t, "trailer") + "\r\n"
}

func wholeRequests(text string) int64 {
	r := bufio.NewReader(bytes.NewReader([]byte(text)))
	whole := int64(0)
	for {
		x, err := http.ReadRequest(r)
		if err != nil {
			return whole
		}
		if _, err := io.Copy(io.Discard, x.Body); err != nil {
			return whole
		}
		whole++
	}
}

// TestFramingOfOddBytes guards against a scanner that fails on bytes that are no request.
func TestFramingOfOddBytes(t *testing.T) {
	tests := map[string]struct {
		text  string
		begun int64
		whole int64
	}{
		"nothing":         {},
		"empty_lines":     {text: "\r\n\r\n\n"},
		"negative_length": {text: "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\nGET", begun: 1},
		"long_length":     {text: "GET / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", begun: 1},
		"chunk_size":      {text: "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", begun: 1},
		"chunk_negative":  {text: "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\n", begun: 1},
		"bare_newlines":   {text: "GET / HTTP/1.1\nHost: a\n\n", begun: 1, whole: 1},
		"binary":          {text: "\x00\xff\x16\x03", begun: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the counts are as expected", t, func() {
				f := &framing{}
				f.read([]byte(tt.text))
				So(f.begun, ShouldEqual, tt.begun)
				So(f.whole, ShouldEqual, tt.whole)
			})
		})
	}
}
