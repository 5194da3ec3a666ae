package target

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// BenchmarkRun compares a new connection for each task with keep-alive.
func BenchmarkRun(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("{}")) // fails only if the client has gone
	}))
	defer server.Close()
	for _, keepAlive := range []bool{false, true} {
		name := "new-connection"
		if keepAlive {
			name = "keep-alive"
		}
		b.Run(name, func(b *testing.B) {
			c := NewClient(server.URL)
			c.http.Transport.(*http.Transport).DisableKeepAlives = !keepAlive
			b.ReportAllocs()
			for b.Loop() {
				if status, _, _ := c.Run(context.Background(), wire.Start{Key: wire.TaskKey{Job: "s/j"}, Payload: []byte("{}")}); status != wire.Done {
					b.Fatal(status)
				}
			}
		})
	}
}
