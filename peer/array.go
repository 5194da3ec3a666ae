package peer

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/beaconpoint/beaconpoint/task"
)

// arrayFrame is a frame in the array encoding, which peers of LevelBase send. The order and number
// of fields define the format and must not change.
type arrayFrame struct {
	Stamp, Echo     time.Duration
	Seq, Config     uint64
	Hello           *arrayHello
	Document        []byte
	AskDocument     bool
	Starts          []arrayOrder
	Stops           []task.Ref
	UsedReservation uint64
	RoomRequest     *RoomRequest
	State           *State
	Ended           []RunEnd
	Reservation     *Reservation
}

// arrayHello is a Hello in the array encoding.
type arrayHello struct {
	Role      Role
	Name      string
	Addr      string
	Introduce bool
}

// arrayOrder is a task.Order in the array encoding.
type arrayOrder struct {
	Task            task.ID
	Run             int
	Spec            string
	Needs           task.Resources
	Estimate, Guess time.Duration
	FailedElsewhere bool
	TimeLeft        time.Duration
}

// order converts o to a task.Order.
func (o arrayOrder) order() task.Order {
	return task.Order{
		Task: o.Task, Run: o.Run, Spec: o.Spec, Needs: o.Needs,
		Estimate: o.Estimate, Guess: o.Guess, FailedElsewhere: o.FailedElsewhere, TimeLeft: o.TimeLeft,
	}
}

// isArray reports whether the body of a frame is in the array encoding.
func isArray(body []byte) bool {
	return len(body) > 0 && msgpcode.IsFixedArray(body[0])
}

// decodeArray decodes the body of a frame in the array encoding.
func decodeArray(body []byte) (*Frame, error) {
	a := new(arrayFrame)
	if err := msgpack.Unmarshal(body, a); err != nil {
		return nil, fmt.Errorf("peer: decode array-encoded frame: %w", err)
	}
	f := &Frame{
		Stamp: a.Stamp, Echo: a.Echo, Seq: a.Seq, Config: a.Config,
		Document: a.Document, AskDocument: a.AskDocument,
		Stops: a.Stops, UsedReservation: a.UsedReservation, RoomRequest: a.RoomRequest,
		State: a.State, Ended: a.Ended, Reservation: a.Reservation,
	}
	for _, o := range a.Starts {
		f.Starts = append(f.Starts, o.order())
	}
	if h := a.Hello; h != nil {
		f.Hello = &Hello{Role: h.Role, Name: h.Name, Addr: h.Addr, Introduce: h.Introduce}
	}
	return f, nil
}
