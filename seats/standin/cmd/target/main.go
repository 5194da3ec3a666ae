// Command target runs the stand-in for a target.
package main

import (
	"log"
	"net/http"

	"github.com/integrii/flaggy"

	"github.com/beaconpoint/beaconpoint/seats/standin/target"
)

func main() {
	listen := "127.0.0.1:7501"
	slowness := 1.0
	flaggy.SetName("target")
	flaggy.SetDescription("stand-in for a target; GET /starts tells how often each task was started")
	flaggy.String(&listen, "l", "listen", "address to serve at")
	flaggy.Float64(&slowness, "", "slowness", "how many times longer each task runs")
	flaggy.Parse()
	t := target.NewTarget()
	t.SetSlowness(slowness)
	log.Printf("target stand-in serves at http://%s", listen)
	log.Fatal(http.ListenAndServe(listen, t))
}
