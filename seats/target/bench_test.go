package target

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// BenchmarkRun shows what a connection of its own costs each task, beside kept
// ones.
func BenchmarkRun(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("{}")) // the client has gone
	}))
	defer server.Close()
	for _, kept := range []bool{false, true} {
		name := "own"
		if kept {
			name = "kept"
		}
		b.Run(name, func(b *testing.B) {
			c := NewClient(server.URL)
			c.http.Transport.(*http.Transport).DisableKeepAlives = !kept
			b.ReportAllocs()
			for b.Loop() {
				if status, _, _ := c.Run(context.Background(), wire.Start{Key: wire.TaskKey{Job: "s/j"}, Payload: []byte("{}")}); status != wire.Done {
					b.Fatal(status)
				}
			}
		})
	}
}
