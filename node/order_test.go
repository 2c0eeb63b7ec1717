package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"wasabirelay/control"
	"wasabirelay/quorum"
)

// Guards against an order that is committed after its sender has gone on to another control host, and
// against an order to a leader of an earlier version that is lost.
func TestOrderOfCallerThatHasLeft(t *testing.T) {
	for _, tt := range []struct {
		name    string
		waiting bool
		index   uint64
		want    []string
	}{
		{"the caller waits", true, 7, []string{"read", "waiting", "commit after 7"}},
		{"the caller has left", false, 7, []string{"read", "waiting"}},
		{"an earlier version leads", true, 0, []string{"read", "waiting", "commit"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var steps []string
			o := order{
				read: func(context.Context) (quorum.ReadResponse, error) {
					steps = append(steps, "read")
					return quorum.ReadResponse{Index: tt.index}, nil
				},
				waiting: func(context.Context) bool { steps = append(steps, "waiting"); return tt.waiting },
				commit: func(context.Context, control.Command) (control.Result, error) {
					steps = append(steps, "commit")
					return control.Result{}, nil
				},
				commitAfter: func(_ context.Context, _ control.Command, base uint64) (control.Result, error) {
					is.Equal(base, tt.index)
					steps = append(steps, "commit after 7")
					return control.Result{}, nil
				},
			}
			_, err := o.try(t.Context(), control.Command{})
			is.Equal(errors.Is(err, errCallerLeft), !tt.waiting)
			is.Equal(steps, tt.want)
		})
	}
}

// Guards against a caller that counts as waiting although it has closed its connection, with or without
// a body in its request, and against one that counts as gone although it waits.
func TestIsCallerWaiting(t *testing.T) {
	for _, request := range []string{
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}",
	} {
		for _, reset := range []bool{false, true} {
			is := is.New(t)
			waiting, closed := make(chan bool), make(chan bool)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				waiting <- isCallerWaiting(r.Context())
				<-closed
				for end := time.Now().Add(time.Second); isCallerWaiting(r.Context()) && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				waiting <- isCallerWaiting(r.Context())
			}))
			server.Config.ConnContext = connContext
			server.Start()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			_, err = io.WriteString(conn, request)
			is.NoErr(err)
			is.True(<-waiting)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
			closed <- true
			is.True(!<-waiting)
			server.Close()
		}
	}
}
