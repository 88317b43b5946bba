package web

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
	"testing"
)

// FuzzFraming guards against a request that ends elsewhere than for net/http: one that
// is thought to be incomplete could be closed while its job runs, and one that is thought
// to be whole would never be closed.
func FuzzFraming(f *testing.F) {
	const (
		get     = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
		post    = "POST /a HTTP/1.1\r\nHost: a\r\n"
		chunked = post + "Transfer-Encoding: chunked\r\n\r\n"
	)
	seeds := map[string]string{
		"pipelined":         get + post + "Content-Length: 3\r\n\r\nabc" + get,
		"chunks":            chunked + "3;x=y\r\nabc\r\n0\r\n\r\n" + get,
		"trailer":           chunked + "1\r\na\r\n0\r\nX: y\r\n\r\n" + get,
		"trailer_bare_feed": chunked + "0\r\nX: y\n\n" + get,
		"chunk_bare_feed":   chunked + "1\na\r\n0\r\n\r\n",
		"chunk_no_end":      chunked + "1\r\nab\r\n0\r\n\r\n",
		"chunk_empty_line":  chunked + "1\r\na\r\n\r\n0\r\n\r\n",
		"chunk_sign":        chunked + "+1\r\na\r\n0\r\n\r\n",
		"old_version":       "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\nConnection: keep-alive\r\n\r\n" + get,
		"length_and_chunks": post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get,
		"two_lengths":       post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na" + get,
		"folded":            post + "Content-Length: 1\r\n 2\r\n\r\na" + get,
		"folded_later":      post + "X: a\r\n\tContent-Length: 2\r\n\r\n" + get,
		"long_value":        post + "Transfer-Encoding: " + string(bytes.Repeat([]byte(" "), maxKeptLine)) + "chunked\r\n\r\n0\r\n\r\n",
		"empty_lines":       post + "Content-Length: 1\r\n\r\na\r\n\r\n" + get,
		"bare_feeds":        "GET / HTTP/1.1\nHost: a\n\n" + get,
		"cut":               post + "Content-Length: 3\r\n\r\nab",
	}
	for _, text := range seeds {
		f.Add([]byte(text), byte(3))
	}
	f.Fuzz(func(t *testing.T, data []byte, part byte) {
		want, closed := endsOfServer(data)
		got, framed := endsOfFraming(data)
		n := min(len(want), len(got))
		switch {
		case !slices.Equal(want[:n], got[:n]):
			t.Fatalf("requests end at %v, want %v in %q", got, want, data)
		case len(got) > n && !closed:
			t.Fatalf("further requests end at %v, want %v in %q", got, want, data)
		case len(want) > n && framed:
			t.Fatalf("requests end at %v only, want %v in %q", got, want, data)
		}
		split := &framing{}
		for rest := data; len(rest) > 0; {
			k := min(len(rest), 1+int(part))
			split.read(rest[:k])
			rest = rest[k:]
		}
		if split.whole != int64(len(got)) {
			t.Fatalf("%d requests in parts of %d bytes, want %d in %q", split.whole, 1+int(part), len(got), data)
		}
	})
}

// endsOfFraming returns where requests end, and whether the end of the next one would
// still be found.
func endsOfFraming(data []byte) ([]int, bool) {
	var ends []int
	f := &framing{}
	for i := range data {
		whole := f.whole
		f.read(data[i : i+1])
		if f.whole > whole {
			ends = append(ends, i+1)
		}
	}
	return ends, f.state != unframed
}

// endsOfServer returns where requests end for net/http, and whether its server closes the
// connection after the last one.
func endsOfServer(data []byte) ([]int, bool) {
	var ends []int
	source := bytes.NewReader(data)
	r := bufio.NewReader(source)
	method := ""
	for {
		if method == http.MethodPost {
			// The server skips these.
			peek, _ := r.Peek(4)
			_, _ = r.Discard(len(peek) - len(bytes.TrimLeft(peek, "\r\n")))
		}
		x, err := http.ReadRequest(r)
		if err != nil {
			return ends, err != io.EOF && err != io.ErrUnexpectedEOF
		}
		if x.ProtoMajor != 1 || x.ProtoAtLeast(1, 1) && x.Host == "" {
			return ends, true
		}
		if _, err := io.Copy(io.Discard, x.Body); err != nil {
			return ends, err != io.ErrUnexpectedEOF
		}
		ends = append(ends, len(data)-source.Len()-r.Buffered())
		if x.Close || x.Header.Get("Expect") != "" {
			return ends, true
		}
		method = x.Method
	}
}
