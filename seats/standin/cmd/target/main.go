// Command target runs a test double for a target.
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
	flaggy.SetDescription("test double for a target; GET /starts returns the number of starts of each task")
	flaggy.String(&listen, "l", "listen", "address to serve at")
	flaggy.Float64(&slowness, "", "slowness", "factor by which each task runs longer")
	flaggy.Parse()
	t := target.NewTarget()
	t.SetSlowness(slowness)
	log.Printf("target test double listening on http://%s", listen)
	log.Fatal(http.ListenAndServe(listen, t))
}
