package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// resendDelay is retransmit_ms: how long after a broken connection, 502 or 504 a job that need not
// be kept is sent again, to another node.
const resendDelay = 1300 * time.Millisecond

// maxSends bounds how often a client sends one job.
const maxSends = 3

// jobKind is a kind of job: one step of equal tasks.
type jobKind struct {
	name     string
	tasks    int
	cpu      int
	work     time.Duration
	deadline time.Duration
	requires string // label that the worker must have; empty means any
}

// Kinds of jobs, after the sheet of the users' site.
var (
	posfix  = jobKind{"posfix", 8, 1600, 60 * time.Millisecond, 1500 * time.Millisecond, ""}
	sealchk = jobKind{"sealchk", 4, 1600, 900 * time.Millisecond, 4500 * time.Millisecond, ""}
	holdq   = jobKind{"holdq", 2, 1600, 200 * time.Millisecond, 1500 * time.Millisecond, ""}
)

// requiring returns the kind of job with a label that the worker must have.
func (k jobKind) requiring(label string) jobKind {
	k.requires = label
	return k
}

// clients sends jobs to the entries.
type clients struct {
	rec     *record
	entries []*process

	mu      sync.Mutex
	lastJob uint64
	wait    sync.WaitGroup
}

// submit hands a job in at entry k in the background, and sends it again as the pages say.
func (c *clients) submit(kind jobKind, k int) (id string) {
	c.mu.Lock()
	c.lastJob++
	id = fmt.Sprintf("%016x", 0x5c0e7a2100000000+c.lastJob)
	c.mu.Unlock()
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		for n := range maxSends {
			if !c.send(kind, id, c.entries[(k+n)%len(c.entries)]) {
				return
			}
			time.Sleep(resendDelay)
		}
	}()
	return id
}

// send sends a job once, on a connection of its own. It reports whether the job is to be sent again.
func (c *clients) send(kind jobKind, id string, e *process) bool {
	requires := ""
	if kind.requires != "" {
		requires = fmt.Sprintf(`,"requires":%q`, kind.requires)
	}
	body := fmt.Sprintf(`{"spec":%q,"best_effort":true,"steps":[{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":%d%s}]}`,
		kind.work.String(), kind.tasks, kind.cpu, kind.work.Milliseconds(), requires)
	ctx, cancel := context.WithTimeout(context.Background(), kind.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+prefixOf(kind.name)+id,
		strings.NewReader(body))
	if err != nil {
		c.rec.note("client can't build a request: %v", err)
		return false
	}
	req.Host = routeHost
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Beaconpoint-Deadline-Ms", strconv.FormatInt(kind.deadline.Milliseconds(), 10))
	c.rec.note("client sends job %s (%s, %d tasks of %v) to %s", id, kind.name, kind.tasks, kind.work, e.name)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.rec.answered(id, e.name, "no answer")
		return true
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		c.rec.answered(id, e.name, "a broken answer")
		return true
	}
	c.rec.answered(id, e.name, strings.TrimSpace(strconv.Itoa(resp.StatusCode)+" "+stateOf(string(raw))))
	return resp.StatusCode == http.StatusBadGateway || resp.StatusCode == http.StatusGatewayTimeout
}

// stateOf returns the state in the body of an answer, empty if there is none.
func stateOf(body string) string {
	for _, state := range []string{"completed", "failed", "cancelled"} {
		if strings.Contains(body, state) {
			return state
		}
	}
	return ""
}

// traffic submits jobs of a kind at a steady rate for the given time, at the entries in turn.
func (c *clients) traffic(kind jobKind, perSecond float64, d time.Duration) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		end := time.Now().Add(d)
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for k := 0; time.Now().Before(end); k++ {
			c.submit(kind, k)
			<-ticker.C
		}
	}()
}
