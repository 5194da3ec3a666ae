// Command platform runs a test double for the platform's key-value service and
// host list.
package main

import (
	"log"
	"net/http"
	"time"

	"github.com/integrii/flaggy"

	"github.com/beaconpoint/beaconpoint/seats/standin/store"
)

func main() {
	listen := "127.0.0.1:7300"
	lag := 5 * time.Second
	flaggy.SetName("platform")
	flaggy.SetDescription("test double for the platform; POST /control sets the faults, GET /control returns the number of calls")
	flaggy.String(&listen, "l", "listen", "address to serve at")
	flaggy.Duration(&lag, "", "lag", "time after which the host list shows a change")
	flaggy.Parse()
	log.Printf("platform test double listening on http://%s", listen)
	log.Fatal(http.ListenAndServe(listen, store.NewServer(store.NewStore(lag))))
}
