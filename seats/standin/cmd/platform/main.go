// Command platform runs the stand-in for the platform's key-value service and
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
	flaggy.SetDescription("stand-in for the platform; POST /control sets its faults, GET /control counts the calls")
	flaggy.String(&listen, "l", "listen", "address to serve at")
	flaggy.Duration(&lag, "", "lag", "how far the host list lags behind")
	flaggy.Parse()
	log.Printf("platform stand-in serves at http://%s", listen)
	log.Fatal(http.ListenAndServe(listen, store.NewServer(store.NewStore(lag))))
}
