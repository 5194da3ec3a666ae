package experiment

import (
	"os"
	"testing"

	"github.com/beaconpoint/beaconpoint/dispatch"
)

func TestShow(t *testing.T) {
	p := dispatch.Policy{Order: dispatch.FewestUnstarted, Choose: dispatch.LeastLoaded}
	f := func(name string, homes, q int) System {
		fl := Fleet{Name: name, Homes: homes, Workers: workers, Slots: slots, AgentQueue: q, Delay: oneWay, Policy: p}
		return System{name, fl.Run}
	}
	rows := Compare([]System{f("3 homes q0", 3, 0), f("3 homes q1", 3, 1), f("3 homes q2", 3, 2), f("1 home q0", 1, 0), f("1 home q1", 1, 1)}, []float64{0.5, 0.8, 0.95}, DefaultWorkload(3000, 1))
	_ = WriteTable(os.Stdout, rows)
}
