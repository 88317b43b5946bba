package web_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/web"
)

// BenchmarkRequest measures one request on a connection that is kept open.
func BenchmarkRequest(b *testing.B) {
	sizes := map[string]int{
		"small": 200,
		"large": 200 << 10,
	}
	for name, size := range sizes {
		b.Run(name, func(b *testing.B) {
			l, address, err := web.Listen("127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			d, cleanup, err := web.Serve(l, web.ConstantLimit(0), "front", "Answers.", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
			}))
			if err != nil {
				b.Fatal(err)
			}
			defer cleanup()
			table, err := duty.NewTable(d)
			if err != nil {
				b.Fatal(err)
			}
			_, stop := table.Start(context.Background())
			defer stop()
			c, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			request := []byte(fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)))
			answers := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(request); err != nil {
					b.Fatal(err)
				}
				w, err := http.ReadResponse(answers, nil)
				if err != nil {
					b.Fatal(err)
				}
				_ = w.Body.Close()
			}
		})
	}
}
