package node

import (
	"context"
	"net"
	"time"

	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/peer"
)

// specWaitTimeout is how long an agent that is asked for a spec waits until the spec arrives. An
// entry refers other agents to an agent as soon as it has sent the spec to that agent, so a request
// can arrive before the spec. The requesting agent waits twice as long for the answer.
const specWaitTimeout = 120 * time.Millisecond

// specWaiters holds the pending requests of other agents for specs that have not arrived, by job:
// for each request a channel that wake closes. It is guarded by the agent's lock.
type specWaiters map[string][]chan struct{}

// wait returns a channel that is closed when an order of the job arrives.
func (w *specWaiters) wait(job string) <-chan struct{} {
	if *w == nil {
		*w = make(specWaiters)
	}
	ready := make(chan struct{})
	(*w)[job] = append((*w)[job], ready)
	return ready
}

// drop removes the channels of a job. Requests that still wait on them look for the spec when they
// time out.
func (w specWaiters) drop(job string) {
	delete(w, job)
}

// wake closes the channels of requests for the jobs in a frame's orders.
func (w specWaiters) wake(f *peer.Frame) {
	if len(w) == 0 {
		return
	}
	for _, order := range f.Starts {
		for _, ready := range w[order.Task.Job] {
			close(ready)
		}
		delete(w, order.Task.Job)
	}
}

// sendSpec answers another agent's request for a job's spec.
func (a *Agent) sendSpec(c *peer.Conn, job string) {
	spec, known := a.awaitSpec(job)
	buf, err := peer.AppendFrame(nil, &peer.Frame{GiveSpec: &peer.GivenSpec{Known: known, Spec: spec}})
	if err == nil {
		err = c.Write(buf, dialTimeout)
	}
	if err != nil {
		a.log.Info(event.SpecNotGiven, "job", job, "error", err.Error())
	}
}

// awaitSpec returns a job's spec and whether it is known. If the spec has not arrived yet, awaitSpec
// waits for it for up to specWaitTimeout.
func (a *Agent) awaitSpec(job string) (string, bool) {
	a.mu.Lock()
	spec, known := a.supervisor.Spec(job)
	if known {
		a.mu.Unlock()
		return spec, true
	}
	ready := a.specs.wait(job)
	a.mu.Unlock()
	timer := time.NewTimer(specWaitTimeout)
	defer timer.Stop()
	select {
	case <-ready:
	case <-timer.C:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.specs.drop(job)
	return a.supervisor.Spec(job)
}

// fetchSpec fetches a job's spec from the agent at addr and passes it to the supervisor.
func (a *Agent) fetchSpec(job, addr string) {
	spec, known, err := requestSpec(job, addr)
	if err != nil {
		a.log.Info(event.SpecNotFetched, "job", job, "addr", addr, "error", err.Error())
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	a.supervisor.SpecFetched(now, job, spec, known)
	a.scheduleFlush(now)
}

// requestSpec requests a job's spec from the agent at addr. known is false without an error if the
// agent does not have the spec or its reply has no GiveSpec.
func requestSpec(job, addr string) (spec string, known bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*specWaitTimeout)
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
	if err := raw.SetDeadline(time.Now().Add(2 * specWaitTimeout)); err != nil {
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
