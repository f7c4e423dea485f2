package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
)

// Headers of the caller API.
const (
	headerRequestID = "Amaranth-Request-Id"
	headerPlacement = "Amaranth-Placement"
	headerChat      = "Amaranth-Chat"
	headerDeadline  = "Amaranth-Deadline"
	headerRan       = "Amaranth-Ran"
)

// Refusal is an error that is reported to the caller.
type Refusal struct {
	Reason     reason.Reason
	Ran        reason.Ran
	Message    string
	RetryAfter time.Duration
	// next names targets that the gate reports to have free capacity.
	next []string
	// owner is the gate to call instead, if the refusing gate is not the owner of the target and knows which gate is.
	owner membership.Gate
	// askOtherGate reports that another gate may know the state of the ticket: heir if it is set, else the witness.
	askOtherGate bool
	heir         ticket.Gate
	// crashed reports that the target crashed during the attempt.
	crashed bool
}

func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Message }

func refuse(r reason.Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: r, Ran: reason.NotRun, Message: fmt.Sprintf(format, args...)}
}

// errorBody is the JSON encoding of a refusal.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code         reason.Reason `json:"code"`
	Message      string        `json:"message"`
	Ran          reason.Ran    `json:"ran"`
	RetryAfterMS int64         `json:"retry_after_ms,omitempty"`
}

func (r *Refusal) body() errorBody {
	return errorBody{errorFields{r.Reason, r.Message, r.Ran, r.RetryAfter.Milliseconds()}}
}

// routes returns the handler of the caller API.
func (e *Entry) routes() http.Handler {
	router := echo.New()
	router.HTTPErrorHandler = e.handleError
	router.Use(e.trackActivity)
	router.POST("/v1/chat/completions", e.withCustomer(e.chatCompletions))
	router.GET("/v1/chat/completions", e.withCustomer(e.resumeChat))
	router.GET("/v1/models", e.withCustomer(e.listModels))
	router.Any("/v1/services/:pool", e.withCustomer(e.callService))
	router.Any("/v1/services/:pool/*", e.withCustomer(e.callService))
	return router
}

// caller is one authenticated request.
type caller struct {
	echo.Context
	customer *catalogue.Customer
	snapshot *Snapshot
}

type callerHandler func(c *caller) error

// withCustomer authenticates a request: it looks up the customer by the API key.
func (e *Entry) withCustomer(next callerHandler) echo.HandlerFunc {
	return func(c echo.Context) error {
		snapshot := e.snapshot.Load()
		if snapshot == nil {
			return refuse(reason.NotReady, "the entry has no catalogue yet")
		}
		key, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if !ok {
			return refuse(reason.UnknownCustomer, "the Authorization header needs a bearer key")
		}
		sum := sha256.Sum256([]byte(key))
		customer, ok := snapshot.Catalogue.CustomerByKeyDigest(hex.EncodeToString(sum[:]))
		if !ok {
			return refuse(reason.UnknownCustomer, "no customer has this key")
		}
		return next(&caller{Context: c, customer: customer, snapshot: snapshot})
	}
}

// handleError responds with a refusal. If the response has already started, the connection is aborted, so that the
// response can't be mistaken for a complete one.
func (e *Entry) handleError(err error, c echo.Context) {
	var refusal *Refusal
	var status *echo.HTTPError
	switch {
	case errors.As(err, &refusal):
		refusal = withTicketOutcome(c, refusal)
	case errors.As(err, &status):
		refusal = refuse(reason.BadRequest, "%v", status.Message)
		e.writeError(c, status.Code, refusal)
		return
	default:
		refusal = &Refusal{Reason: reason.Internal, Ran: reason.MayHaveRun, Message: err.Error()}
	}
	e.writeError(c, refusal.Reason.Status(), refusal)
}

// withTicketOutcome changes the outcome of a refusal that was made before the request's ticket was checked to unknown,
// since an earlier attempt with the same ticket may have run.
func withTicketOutcome(c echo.Context, refusal *Refusal) *Refusal {
	if refusal.Ran != reason.NotRun || c.Request().Header.Get(headerTicket) == "" {
		return refusal
	}
	switch refusal.Reason {
	case reason.NotReady, reason.UnknownCustomer, reason.UnknownPool, reason.BadRequest, reason.BodyTooLarge:
		changed := *refusal
		changed.Ran = reason.MayHaveRun
		return &changed
	}
	return refusal
}

func (e *Entry) writeError(c echo.Context, status int, refusal *Refusal) {
	e.meters.Refused(refusal.Reason, refusal.Ran)
	if c.Response().Committed {
		panic(http.ErrAbortHandler)
	}
	c.Response().Header().Set(headerRan, string(refusal.Ran))
	if refusal.RetryAfter > 0 {
		seconds := int64((refusal.RetryAfter + time.Second - 1) / time.Second)
		c.Response().Header().Set("Retry-After", fmt.Sprint(seconds))
	}
	_ = c.JSON(status, refusal.body())
}

// readBody reads a request body of at most the configured size.
func (e *Entry) readBody(c *caller) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, e.settings.BodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refuse(reason.BodyTooLarge, "the body is over %d bytes", e.settings.BodyBytes)
	case err != nil:
		return nil, refuse(reason.BadRequest, "the body broke off: %v", err)
	}
	return body, nil
}

// deadline returns the time limit of the request: that of the pool, or the caller's if it is shorter.
func deadline(c *caller, pool *catalogue.Pool) (time.Duration, error) {
	limit := time.Duration(pool.Deadline)
	text := c.Request().Header.Get(headerDeadline)
	if text == "" {
		return limit, nil
	}
	requested, err := time.ParseDuration(text)
	if err != nil || requested <= 0 {
		return 0, refuse(reason.BadRequest, "header %s: %q is not a duration with a unit, such as 30s", headerDeadline, text)
	}
	return min(requested, limit), nil
}
