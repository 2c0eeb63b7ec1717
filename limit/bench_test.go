package limit

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"wasabirelay/control"
)

const benchBody = `{"query":"finish matt, board 18 mm, region ege","limit":20}`

// benchServer answers each request with a fixed reply and as little work as possible, so that
// most of the processor time is that of the client.
func benchServer(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	reply := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 512\r\n\r\n" + strings.Repeat("x", 512)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				buffer := make([]byte, 4096)
				for {
					if _, err := conn.Read(buffer); err != nil {
						conn.Close()
						return
					}
					_, _ = io.WriteString(conn, reply)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func benchRequest(ctx context.Context, address string) *http.Request {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/query", strings.NewReader(benchBody))
	for _, name := range []string{"Wasabi-Request", "Wasabi-Shard", "Wasabi-Snapshot", "Wasabi-Timeout"} {
		req.Header.Set(name, "80")
	}
	return req
}

// measure runs the exchange in parallel and reports the processor time of the process per
// exchange, including that of the server.
func measure(b *testing.B, exchange func(ctx context.Context) error) {
	before := processorTime()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			if err := exchange(ctx); err != nil {
				b.Error(err)
			}
			cancel()
		}
	})
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
}

func processorTime() int64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // can't fail for the calling process
	return u.Utime.Nano() + u.Stime.Nano()
}

// BenchmarkSubrequest compares a sub-request through the pool with one through a plain
// http.Client.
func BenchmarkSubrequest(b *testing.B) {
	b.Run("pool", func(b *testing.B) {
		address := benchServer(b)
		p := &Pool{ReplyID: func(res *Response) string { return res.Header.Get("Wasabi-Request") }}
		defer p.Close()
		p.SetShares(map[string]Share{"t0": {Incarnation: "1", Address: netip.MustParseAddrPort(address), Connections: 32}})
		target := &control.Target{Name: "t0", Incarnation: "1"}
		measure(b, func(ctx context.Context) error {
			permit, err := p.Acquire(ctx, target)
			if err != nil {
				return err
			}
			defer permit.Release(Succeeded)
			_, err = p.Do(ctx, permit, benchRequest(ctx, address), nil)
			return err
		})
	})
	b.Run("client", func(b *testing.B) {
		address := benchServer(b)
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, MaxConnsPerHost: 32}}
		defer client.CloseIdleConnections()
		measure(b, func(ctx context.Context) error {
			res, err := client.Do(benchRequest(ctx, address))
			if err != nil {
				return err
			}
			defer res.Body.Close()
			_, err = io.ReadAll(res.Body)
			return err
		})
	})
}

// BenchmarkSplicing measures the search for another reply in a body without one: in text without the first letter of
// a status line, and in text that repeats it.
func BenchmarkSplicing(b *testing.B) {
	for _, text := range []string{"xx", "Hx"} {
		for _, size := range []int{16, 512, 16 << 10} {
			b.Run(text+"/"+strconv.Itoa(size), func(b *testing.B) {
				c := newConnection(&targetConn{}, nil, netip.AddrPort{})
				c.replyID = func(res *Response) string { return res.Header.Get("Id") }
				c.head = head{line: "HTTP/1.1 200 OK", length: int64(size)}
				body := []byte(strings.Repeat(text, size/2))
				b.ReportAllocs()
				for b.Loop() {
					if c.isSpliced(body, false) {
						b.Fatal("spliced")
					}
				}
			})
		}
	}
}
