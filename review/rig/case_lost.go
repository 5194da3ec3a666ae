package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// lostStops is how many times an entry is stopped.
	lostStops = 4
	// stopGap is the time between two stops.
	stopGap = 9 * time.Second
	// lossSlack is the bound loss_slack_ms.
	lossSlack = 200 * time.Millisecond
	// headLead is how long before the second part of its request a client sends the first one.
	headLead     = 40 * time.Millisecond
	lostTask     = 400 * time.Millisecond
	lostDeadline = 1500 * time.Millisecond
)

// bodyDelays are the times from the SIGTERM until the clients send the second parts of their
// requests. The bound grace_s is 6 s.
var bodyDelays = []time.Duration{
	2603 * time.Millisecond, 2607 * time.Millisecond, 2611 * time.Millisecond, 2615 * time.Millisecond,
}

// runLost stops entries with SIGTERM, as the platform does. Clients whose connections have been
// open since before send a further request on them, in two parts. Rule LOST: a request that was
// read whole and has been passed on to a worker is answered.
func runLost(s *system) ([]string, error) {
	if err := s.addWorkers(4); err != nil {
		return nil, err
	}
	if err := s.addAgents(); err != nil {
		return nil, err
	}
	if err := s.addEntries(2); err != nil {
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	var broken []string
	for n := range lostStops {
		found, err := s.stopOnce(s.entries[n%len(s.entries)])
		if err != nil {
			return nil, err
		}
		broken = append(broken, found...)
	}
	return broken, nil
}

// stopOnce stops an entry and starts it again. It returns how the rule was broken.
func (s *system) stopOnce(p *process) ([]string, error) {
	var clients []*client
	for range bodyDelays {
		c, err := s.connectClient(p)
		if err != nil {
			return nil, err
		}
		defer c.conn.Close()
		clients = append(clients, c)
	}
	began := time.Now()
	if s.trouble {
		p.signal(syscall.SIGTERM)
	}
	var broken []string
	var mu sync.Mutex
	var group sync.WaitGroup
	for k, c := range clients {
		group.Go(func() {
			if lost := c.sendInParts(began.Add(bodyDelays[k])); lost != "" {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, lost)
			}
		})
	}
	group.Wait()
	if s.trouble {
		p.wait()
		s.sleep(restartDelay)
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	s.sleep(time.Until(began.Add(stopGap)))
	return broken, nil
}

// client is a client with an open connection to an entry.
type client struct {
	system *system
	entry  *process
	conn   net.Conn
	reader *bufio.Reader
}

// connectClient connects a client to an entry and has a first job served on the connection.
func (s *system) connectClient(p *process) (*client, error) {
	conn, err := net.Dial("tcp", s.front(p))
	if err != nil {
		return nil, err
	}
	c := &client{system: s, entry: p, conn: conn, reader: bufio.NewReader(conn)}
	head, body, id := c.request()
	if _, err := conn.Write([]byte(head + body)); err != nil {
		return nil, err
	}
	a := read(http.ReadResponse(c.reader, nil))
	if a.err != nil || a.status != http.StatusOK {
		return nil, fmt.Errorf("job %s before the stop: %+v", id, a)
	}
	return c, nil
}

// request returns the two parts of a request that submits a job, and the ID of the job.
func (c *client) request() (head, body, id string) {
	id = newID()
	body = jobBody(2, lostTask)
	head = fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Beaconpoint-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", routePrefix, id, routeHost,
		lostDeadline.Milliseconds(), len(body))
	return head, body, id
}

// sendInParts sends a job, its last part at the given time. It returns how the rule was broken, or
// an empty text.
func (c *client) sendInParts(lastAt time.Time) string {
	s := c.system
	head, body, id := c.request()
	s.sleep(time.Until(lastAt.Add(-headLead)))
	s.log.add("client sends the head of %s to %s", id, c.entry.name)
	if _, err := c.conn.Write([]byte(head)); err != nil {
		s.log.add("client can't send the head: %v", err)
		return ""
	}
	s.sleep(time.Until(lastAt))
	s.log.add("client sends the body of %s to %s", id, c.entry.name)
	sent := s.log.now()
	if _, err := c.conn.Write([]byte(body)); err != nil {
		s.log.add("client can't send the body: %v", err)
		return ""
	}
	if err := c.conn.SetDeadline(time.Now().Add(lostDeadline)); err != nil {
		return ""
	}
	a := read(http.ReadResponse(c.reader, nil))
	took := s.log.now() - sent
	s.log.add("client has for %s after %v: status %d, body %s, error %v", id, took, a.status, a.body, a.err)
	if a.err == nil {
		return ""
	}
	s.sleep(lostTask)
	for _, r := range s.allSpans() {
		if r.job() == id {
			return fmt.Sprintf("request %s was passed on to a worker, and its connection ended without an answer %v "+
				"after its last byte was sent", id, took)
		}
	}
	if took > lossSlack {
		return fmt.Sprintf("the connection of request %s ended without an answer %v after its last byte was sent", id, took)
	}
	return ""
}
