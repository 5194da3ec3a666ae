package node

import (
	"context"
	"net"
	"time"

	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/peer"
)

// specWait bounds how long an agent waits for a spec that another one asks for: the entry
// names it as soon as the spec is on its way here. Not measured; a little less than the
// other one waits.
const specWait = 120 * time.Millisecond

// specWaiters are other agents' requests for specs that have not come yet. It is used under
// its agent's lock.
type specWaiters map[string][]chan struct{} // by job

// wait returns a channel that is closed when an order of the job has come.
func (w *specWaiters) wait(job string) <-chan struct{} {
	if *w == nil {
		*w = make(specWaiters)
	}
	came := make(chan struct{})
	(*w)[job] = append((*w)[job], came)
	return came
}

// drop forgets the requests for a job's spec.
func (w specWaiters) drop(job string) {
	delete(w, job)
}

// arrived wakes those that wait for the jobs of a frame's orders.
func (w specWaiters) arrived(f *peer.Frame) {
	if len(w) == 0 {
		return
	}
	for _, order := range f.Starts {
		for _, came := range w[order.Task.Job] {
			close(came)
		}
		delete(w, order.Task.Job)
	}
}

// giveSpec answers another agent that needs a job's spec, once it is here.
func (a *Agent) giveSpec(c *peer.Conn, job string) {
	spec, known := a.awaitSpec(job)
	buf, err := peer.AppendFrame(nil, &peer.Frame{GiveSpec: &peer.GivenSpec{Known: known, Spec: spec}})
	if err == nil {
		err = c.Write(buf, dialTimeout)
	}
	if err != nil {
		a.log.Info(event.SpecNotGiven, "job", job, "error", err.Error())
	}
}

// awaitSpec returns a job's spec, which may be on its way here.
func (a *Agent) awaitSpec(job string) (string, bool) {
	a.mu.Lock()
	spec, known := a.supervisor.Spec(job)
	if known {
		a.mu.Unlock()
		return spec, true
	}
	came := a.specs.wait(job)
	a.mu.Unlock()
	timer := time.NewTimer(specWait)
	defer timer.Stop()
	select {
	case <-came:
	case <-timer.C:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.specs.drop(job)
	return a.supervisor.Spec(job)
}

// fetchSpec gets a job's spec from the agent at addr.
func (a *Agent) fetchSpec(job, addr string) {
	spec, known, err := askSpec(job, addr)
	if err != nil {
		a.log.Info(event.SpecNotFetched, "job", job, "addr", addr, "error", err.Error())
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	a.supervisor.SpecFetched(now, job, spec, known)
	a.scheduleFlush(now)
}

// askSpec asks the agent at addr for a job's spec.
func askSpec(job, addr string) (spec string, known bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*specWait)
	defer cancel()
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return "", false, err
	}
	defer raw.Close()
	buf, err := peer.AppendFrame(nil, &peer.Frame{AskSpec: job})
	if err != nil {
		return "", false, err
	}
	if err := raw.SetDeadline(time.Now().Add(2 * specWait)); err != nil {
		return "", false, err
	}
	if _, err := raw.Write(buf); err != nil {
		return "", false, err
	}
	f, err := peer.ReadFrame(raw)
	if err != nil || f.GiveSpec == nil {
		return "", false, err
	}
	return f.GiveSpec.Spec, f.GiveSpec.Known, nil
}
