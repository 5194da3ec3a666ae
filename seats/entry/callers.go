package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/job"
)

// HTTP headers of a single request and its response.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderMember     = "X-Member"
	HeaderRepeatable = "X-Repeatable"
	HeaderExpiresAt  = "X-Expires-At"
	HeaderCode       = "X-Result-Code"
	HeaderRan        = "X-Ran"
)

// callersHandler returns the handler of the callers' API.
func (e *Entry) callersHandler() http.Handler {
	s := newEcho()
	s.POST("/v1/services/:service/jobs", e.postJob)
	s.GET("/v1/services/:service/jobs/:id", e.getJob)
	s.POST("/v1/services/:service/requests", e.postRequest)
	return s
}

// newEcho returns a router that writes its errors as JSON.
func newEcho() *echo.Echo {
	s := echo.New()
	s.HideBanner = true
	s.HidePort = true
	s.HTTPErrorHandler = func(err error, c echo.Context) {
		if c.Response().Committed {
			return
		}
		status := http.StatusInternalServerError
		var he *echo.HTTPError
		if errors.As(err, &he) {
			status = he.Code
		}
		_ = c.JSON(status, map[string]string{"message": err.Error()}) // fails only if the client has disconnected
	}
	return s
}

func (e *Entry) postJob(c echo.Context) error {
	if kind, _, err := mime.ParseMediaType(c.Request().Header.Get(echo.HeaderContentType)); err != nil || kind != echo.MIMEApplicationJSON {
		return writeBadRequest(c, "", code.Error(code.UnsupportedType, "the content type is not application/json"))
	}
	body, err := readBody(c)
	if err != nil {
		return writeBadRequest(c, "", err)
	}
	sub, err := job.Parse(c.Param("service"), body)
	if err != nil {
		return writeBadRequest(c, sub.Job.ID, err)
	}
	a, err := e.submitAndWait(c.Request().Context(), sub, false)
	if err != nil {
		return err
	}
	return writeAnswer(c, a)
}

func (e *Entry) getJob(c echo.Context) error {
	id := c.Param("id")
	if !job.ValidID(id) {
		return writeBadRequest(c, id, code.Error(code.BadID, "the job's id is not an id"))
	}
	sub := job.Submission{Service: c.Param("service"), Job: seats.Job{ID: id}}
	a, err := e.submitAndWait(c.Request().Context(), sub, true)
	if err != nil {
		return err
	}
	return writeAnswer(c, a)
}

// postRequest runs a single request. The response body is the target's output.
func (e *Entry) postRequest(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return writeBadRequest(c, "", err)
	}
	h := c.Request().Header
	expiry, err := parseExpiry(h.Get(HeaderExpiresAt))
	if err != nil {
		return writeBadRequest(c, h.Get(HeaderRequestID), err)
	}
	repeatable, err := parseRepeatable(h.Get(HeaderRepeatable))
	if err != nil {
		return writeBadRequest(c, h.Get(HeaderRequestID), err)
	}
	sub, err := job.NewSingle(c.Param("service"), h.Get(HeaderMember), h.Get(HeaderRequestID), body, repeatable, expiry)
	if err != nil {
		return writeBadRequest(c, h.Get(HeaderRequestID), err)
	}
	a, err := e.submitAndWait(c.Request().Context(), sub, false)
	if err != nil {
		return err
	}
	if a.State != seats.Complete {
		return writeAnswer(c, a)
	}
	var out []byte
	if err := json.Unmarshal(a.Results[0].Output, &out); err != nil {
		return err
	}
	c.Response().Header().Set(HeaderCode, "0")
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, out)
}

func parseExpiry(text string) (*time.Time, error) {
	if text == "" {
		return nil, nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return nil, code.Errorf(code.BadValue, "%s is not a time such as 2026-01-02T15:04:05Z", HeaderExpiresAt)
	}
	return &t, nil
}

func parseRepeatable(text string) (bool, error) {
	if text == "" {
		return false, nil
	}
	v, err := strconv.ParseBool(text)
	if err != nil {
		return false, code.Errorf(code.BadValue, "%s is not true or false", HeaderRepeatable)
	}
	return v, nil
}

// readBody reads a body of at most seats.MaxBody bytes.
func readBody(c echo.Context) ([]byte, error) {
	var buf bytes.Buffer
	if n := c.Request().ContentLength; n > 0 && n <= seats.MaxBody {
		buf.Grow(int(n) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(io.LimitReader(c.Request().Body, seats.MaxBody+1))
	if err != nil {
		return nil, code.Errorf(code.BadJSON, "the body broke off: %v", err)
	}
	if buf.Len() > seats.MaxBody {
		return nil, code.Errorf(code.TooLarge, "the body is larger than %d bytes", seats.MaxBody)
	}
	return buf.Bytes(), nil
}

// writeBadRequest refuses a malformed submission, of which no task has run.
func writeBadRequest(c echo.Context, id string, err error) error {
	k := code.Of(err, code.BadJSON)
	return writeAnswer(c, seats.Answer{
		ID: id, State: seats.Refused,
		Code: uint16(k), Name: k.Name(), Message: err.Error(), Ran: seats.RanNo,
	})
}

// writeAnswer writes an answer with its HTTP status and headers.
func writeAnswer(c echo.Context, a seats.Answer) error {
	h := c.Response().Header()
	if a.RetryAfterMS > 0 {
		h.Set(echo.HeaderRetryAfter, strconv.FormatInt((a.RetryAfterMS+999)/1000, 10))
	}
	h.Set(HeaderCode, strconv.Itoa(int(a.Code)))
	if a.Ran != "" {
		h.Set(HeaderRan, string(a.Ran))
	}
	return c.JSON(code.Code(a.Code).Status(), a)
}
