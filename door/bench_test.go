package door

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkRequest measures an ordinary request on an open connection, client included, without and with the door.
func BenchmarkRequest(b *testing.B) {
	plain := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, 0) }))
	defer plain.Close()
	for name, address := range map[string]string{"plain": plain.Listener.Addr().String(), "door": serve(b, &Door{})} {
		b.Run(name, func(b *testing.B) {
			c := dial(b, address)
			for b.Loop() {
				c.send(post("Timeout: 500\r\n", 0))
				if status, _ := c.answer(); status != http.StatusOK {
					b.Fatal(status)
				}
			}
		})
	}
}
