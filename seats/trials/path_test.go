// Package trials tests the built binary end to end: entries and agents run as
// separate processes, with and without injected failures.
package trials

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/testutil/cluster"
)

func threeByThree() cluster.Config {
	return cluster.Config{Entries: 3, Agents: 3, Slots: 8, Lease: 3 * time.Second}
}

func jobOf(id string, tasks, ms int) seats.Job {
	j := seats.Job{ID: id, Organisation: cluster.Organisation}
	for k := range tasks {
		j.Tasks = append(j.Tasks, seats.Task{
			ID:      fmt.Sprintf("t%d", k),
			Payload: fmt.Appendf(nil, `{"ms":%d,"echo":"%s-%d"}`, ms, id, k),
		})
	}
	return j
}

// assertComplete checks that a is complete and holds the result of each task of j.
func assertComplete(t testing.TB, j seats.Job, a seats.Answer) {
	t.Helper()
	assert.Equal(t, a.State, seats.Complete, "%+v", a)
	assert.Equal(t, a.ID, j.ID)
	assert.Equal(t, len(a.Results), len(j.Tasks))
	for k, r := range a.Results {
		assert.Equal(t, r.ID, j.Tasks[k].ID)
		want := fmt.Sprintf(`{"task":"%s/t%d","echo":"%s-%d"}`, j.ID, k, j.ID, k)
		assert.Equal(t, string(r.Output), want)
	}
}

// Fails when a job that is submitted through three entries at once starts a task
// twice or gets a wrong answer.
func TestConcurrentSubmissionsStartTasksOnce(t *testing.T) {
	c := cluster.Start(t, threeByThree())
	var all sync.WaitGroup
	answers := make([]seats.Answer, 60)
	for k := range answers {
		all.Go(func() {
			// Each job is submitted once through every entry.
			j := jobOf(fmt.Sprintf("job-%d", k/3), 1+k/3, 20)
			a, err := c.Client(k%3).Submit(context.Background(), cluster.Service, j)
			assert.Check(t, err == nil, "%v", err)
			answers[k] = a
		})
	}
	all.Wait()
	tasks := 0
	for k, a := range answers {
		assertComplete(t, jobOf(fmt.Sprintf("job-%d", k/3), 1+k/3, 20), a)
		if k%3 == 0 {
			tasks += 1 + k/3
		}
	}
	doubled, starts := c.Doubled()
	assert.Equal(t, len(doubled), 0, "%v", doubled)
	assert.Equal(t, starts, tasks)
	for _, target := range c.Targets {
		assert.Assert(t, target.Peak() <= 8, "%d concurrent tasks on 8 slots", target.Peak())
	}
}

// request is a request of the golden session.
type request struct {
	name, method, path, body string
	header                   map[string]string
}

// Fails when status, headers or body of a response of the callers' API change.
func TestGoldenSession(t *testing.T) {
	c := cluster.Start(t, threeByThree())
	jobs, requests := "/v1/services/trackd/jobs", "/v1/services/trackd/requests"
	many := strings.Repeat(`{"id":"a"},`, 1200) + `{"id":"a"}`
	var out bytes.Buffer
	for _, s := range []request{
		{"a job of two tasks", "POST", jobs, `{"id":"fix-1","member":"port-gate","tasks":[{"id":"a","payload":{"ms":5,"echo":"x"}},{"id":"b","payload":{"ms":1}}]}`, nil},
		{"the same job again, with other white space", "POST", jobs, `{"id":"fix-1", "member":"port-gate", "tasks":[ {"id":"a","payload":{"ms":5, "echo":"x"}},{"id":"b","payload":{"ms":1}}]}`, nil},
		{"the same id with other content", "POST", jobs, `{"id":"fix-1","member":"port-gate","tasks":[{"id":"a"}]}`, nil},
		{"where the job stands", "GET", jobs + "/fix-1", "", nil},
		{"a job that nobody knows", "GET", jobs + "/fix-9", "", nil},
		{"a task that fails", "POST", jobs, `{"id":"fix-2","member":"port-gate","tasks":[{"id":"a","payload":{"fail":true}}]}`, nil},
		{"broken JSON", "POST", jobs, `{"id":`, nil},
		{"no tasks", "POST", jobs, `{"id":"fix-3","member":"port-gate","tasks":[]}`, nil},
		{"1,201 tasks", "POST", jobs, `{"id":"fix-3","member":"port-gate","tasks":[` + many + `]}`, nil},
		{"a doubled task", "POST", jobs, `{"id":"fix-3","member":"port-gate","tasks":[{"id":"a"},{"id":"a"}]}`, nil},
		{"an unknown field", "POST", jobs, `{"id":"fix-3","member":"port-gate","task":[]}`, nil},
		{"an oversize body", "POST", jobs, `{"id":"` + strings.Repeat("x", seats.MaxBody) + `"}`, nil},
		{"an unknown service", "POST", "/v1/services/nothing/jobs", `{"id":"fix-3","member":"port-gate","tasks":[{"id":"a"}]}`, nil},
		{"an unknown member", "POST", jobs, `{"id":"fix-3","member":"nobody","tasks":[{"id":"a"}]}`, nil},
		{"an expiry in the past", "POST", jobs, `{"id":"fix-3","member":"port-gate","expires_at":"2020-01-01T00:00:00Z","tasks":[{"id":"a"}]}`, nil},
		{"an expiry far away", "POST", jobs, `{"id":"fix-3","member":"port-gate","expires_at":"2099-01-01T00:00:00Z","tasks":[{"id":"a"}]}`, nil},
		{"a single request", "POST", requests, "not json, handed on as it is", map[string]string{"X-Request-Id": "hold-1", "X-Member": "port-gate"}},
		{"a request without an id", "POST", requests, "x", map[string]string{"X-Member": "port-gate"}},
		{"a request that is perhaps repeatable", "POST", requests, "x", map[string]string{"X-Request-Id": "hold-2", "X-Member": "port-gate", "X-Repeatable": "perhaps"}},
	} {
		fmt.Fprintf(&out, "## %s\n%s %s\n%.200s\n", s.name, s.method, s.path, s.body)
		out.WriteString(sendRequest(t, c.URL(1), s))
	}
	golden.Assert(t, out.String(), "session.golden")
	doubled, starts := c.Doubled()
	assert.Equal(t, len(doubled), 0, "%v", doubled)
	assert.Equal(t, starts, 4) // two of fix-1, one of fix-2, one of hold-1
}

func sendRequest(t *testing.T, base string, s request) string {
	t.Helper()
	req, err := http.NewRequest(s.method, base+s.path, strings.NewReader(s.body))
	assert.NilError(t, err)
	req.Header.Set("Content-Type", "application/json")
	for k, v := range s.header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return fmt.Sprintf("-> %d, %s %q, %s %q, Retry-After %q\n%s\n\n", resp.StatusCode,
		"X-Result-Code", resp.Header.Get("X-Result-Code"), "X-Ran", resp.Header.Get("X-Ran"), resp.Header.Get("Retry-After"),
		strings.TrimSpace(string(body)))
}

// Fails when a task is sent again after the target dropped its connection.
func TestDroppedConnectionIsNotRetried(t *testing.T) {
	c := cluster.Start(t, threeByThree())
	j := seats.Job{ID: "drop", Organisation: cluster.Organisation, Tasks: []seats.Task{{ID: "a", Payload: json.RawMessage(`{"drop":true}`)}}}
	a, err := c.Client(0).Submit(context.Background(), cluster.Service, j)
	assert.NilError(t, err)
	assert.Equal(t, a.State, seats.Failed)
	assert.Equal(t, a.Name, "target-lost")
	assert.Equal(t, a.Ran, seats.RanMaybe)
	doubled, starts := c.Doubled()
	assert.Equal(t, len(doubled), 0)
	assert.Equal(t, starts, 1)
}

func TestBinaryIsLinkedToLibc(t *testing.T) {
	out, err := exec.Command("ldd", cluster.Binary(t)).CombinedOutput()
	assert.NilError(t, err, string(out))
	assert.Assert(t, strings.Contains(string(out), "libc.so"), string(out))
}
