package entry

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/seats/config"
)

func TestOperatorCallsRequireToken(t *testing.T) {
	var log bytes.Buffer
	e := newTestEntry(t, &log)
	h := e.operatorsHandler()
	for _, c := range []struct {
		name, method, path, token string
		want                      int
	}{
		{"no token", "GET", "/v1/status", "", http.StatusUnauthorized},
		{"unknown token", "GET", "/healthz", "nobody's", http.StatusUnauthorized},
		{"reader reads", "GET", "/v1/status", testToken, http.StatusOK},
		{"reader changes", "POST", "/v1/confirm", testToken, http.StatusForbidden},
		{"chief changes, store unreachable", "POST", "/v1/plan", testToken + "-chief", http.StatusServiceUnavailable},
		{"health", "GET", "/healthz", testToken, http.StatusOK},
		{"not ready without a seat", "GET", "/readyz", testToken, http.StatusServiceUnavailable},
		{"metrics", "GET", "/metrics", testToken, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			req := httptest.NewRequest(c.method, c.path, strings.NewReader("{}"))
			if c.token != "" {
				req.Header.Set("Authorization", "Bearer "+c.token)
			}
			rec := httptest.NewRecorder()
			h.ServeHTTP(rec, req)
			assert.Equal(t, rec.Code, c.want, rec.Body.String())
		})
	}
	assert.Assert(t, !strings.Contains(log.String(), testToken), "the log contains a token")
}

func TestIntentWithUnknownFieldIsRejected(t *testing.T) {
	e := newTestEntry(t, new(bytes.Buffer))
	req := httptest.NewRequest("POST", "/v1/plan", strings.NewReader(`{"service":[]}`))
	req.Header.Set("Authorization", "Bearer "+testToken+"-chief")
	rec := httptest.NewRecorder()
	e.operatorsHandler().ServeHTTP(rec, req)
	assert.Equal(t, rec.Code, http.StatusUnprocessableEntity)
	assert.Assert(t, strings.Contains(rec.Body.String(), "service"), rec.Body.String())
}

func TestInvalidIntentsAreRejected(t *testing.T) {
	base := config.Document{Revision: 4, Organisations: []config.Organisation{{Name: "m"}}}
	for _, in := range []config.Intent{
		{RemoveOrganisations: []string{"nobody"}},
		{Drain: []string{"nothing"}},
		{Services: []config.Service{{Name: "a/b"}}},
		{Services: []config.Service{{Name: "s", Targets: []config.Target{{Name: "t", Agent: "nowhere", Slots: 1, Connections: 1}}}}},
		{Services: []config.Service{{Name: "s", Targets: []config.Target{{Name: "t", Agent: "127.0.0.1:1", Slots: 9, Connections: 1}}}}},
	} {
		_, err := config.NewPlan(base, in, "change")
		assert.Assert(t, err != nil, "%+v", in)
	}
	p, err := config.NewPlan(base, config.Intent{Organisations: []config.Organisation{{Name: "m", Rate: 5}}, Services: []config.Service{{Name: "s"}}}, "change")
	assert.NilError(t, err)
	assert.DeepEqual(t, p.Changes, []string{
		`+ service s {"name":"s","targets":null,"bounds":{}}`,
		`~ member m {"name":"m"} -> {"name":"m","rate":5}`,
	})
	assert.DeepEqual(t, p.Warnings, []string{"service s has no target that takes work"})
}
