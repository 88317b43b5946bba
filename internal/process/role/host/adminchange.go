package host

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/role/publisher"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// maxDrainRetries limits how often a drain is retried after a concurrent change.
const maxDrainRetries = 5

type applyDocument struct {
	Key           string          `json:"key"`
	Base          *uint64         `json:"base"`
	Configuration json.RawMessage `json:"configuration"`
}

type rollbackDocument struct {
	Key  string  `json:"key"`
	Base *uint64 `json:"base"`
	To   uint64  `json:"to"`
}

type drainDocument struct {
	Key string `json:"key"`
}

type appliedView struct {
	Version  uint64       `json:"version"`
	Base     uint64       `json:"base"`
	Repeated bool         `json:"repeated"`
	Audited  bool         `json:"audited"`
	Changes  []changeView `json:"changes"`
}

// adminProblem is a refusal of a change as a problem document.
type adminProblem struct {
	Type     string        `json:"type"`
	Title    string        `json:"title"`
	Status   int           `json:"status"`
	Detail   string        `json:"detail"`
	Field    string        `json:"field,omitempty"`
	Result   string        `json:"result"`
	Base     uint64        `json:"base"`
	Current  uint64        `json:"current"`
	Changes  []changeView  `json:"changes,omitempty"`
	Problems []problemView `json:"problems,omitempty"`
}

// outcomes maps the outcome of a change to an HTTP status, the field that caused it
// and a title.
var outcomes = map[publisher.State]struct {
	status int
	field  string
	title  string
}{
	publisher.Stale: {
		status: http.StatusConflict,
		field:  "base",
		title:  "The base is not the version in force.",
	},
	publisher.Invalid: {
		status: http.StatusUnprocessableEntity,
		field:  "configuration",
		title:  "The configuration contradicts itself.",
	},
	publisher.Conflict: {
		status: http.StatusConflict,
		field:  "key",
		title:  "The key was used for another change.",
	},
	publisher.NoVersion: {
		status: http.StatusNotFound,
		field:  "to",
		title:  "There is no such version.",
	},
	publisher.Failed: {
		status: http.StatusServiceUnavailable,
		field:  "store",
		title:  "The store is not available; nothing was changed.",
	},
	publisher.Indeterminate: {
		status: http.StatusGatewayTimeout,
		field:  "store",
		title:  "The change may have taken effect.",
	},
}

// readChange decodes the body of a change into v. It rejects unknown fields and
// data after the JSON value.
func readChange(c echo.Context, v any) error {
	dec := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, 2*configuration.MaxBytes))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil {
		if _, err = dec.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		return invalidRequest(http.StatusBadRequest, "body", "has more than one JSON value")
	}
	var wrong *json.UnmarshalTypeError
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return invalidRequest(http.StatusRequestEntityTooLarge, "body", "has more than %d bytes", 2*configuration.MaxBytes)
	case errors.As(err, &wrong) && wrong.Field != "":
		return invalidRequest(http.StatusBadRequest, wrong.Field, "is a JSON %s, which does not fit", wrong.Value)
	case strings.HasPrefix(err.Error(), unknownField):
		name := strings.TrimSuffix(strings.TrimPrefix(err.Error(), unknownField), `"`)
		return invalidRequest(http.StatusBadRequest, truncate(name), "is not a known field")
	}
	return invalidRequest(http.StatusBadRequest, "body", "is not a JSON object: %s", truncate(err.Error()))
}

func checkKey(key string) error {
	if !configuration.ValidChangeKey(key) {
		return invalidRequest(http.StatusBadRequest, "key", "is %q, allowed are 1 to 64 printable characters without space, quotation mark, backslash, <, > and &", truncate(key))
	}
	return nil
}

func (a *admin) apply(c echo.Context) error {
	var d applyDocument
	if err := readChange(c, &d); err != nil {
		return err
	}
	if err := checkKey(d.Key); err != nil {
		return err
	}
	if d.Base == nil {
		return invalidRequest(http.StatusBadRequest, "base", "is missing; it names the version that the change follows, 0 for the first")
	}
	cfg, err := configuration.Decode(d.Configuration)
	var ps configuration.Problems
	switch {
	case errors.As(err, &ps):
		return writeAdminProblem(c, outcomes[publisher.Invalid].status, adminProblem{
			Result:   publisher.Invalid.String(),
			Title:    outcomes[publisher.Invalid].title,
			Field:    "configuration",
			Detail:   "values cannot be used",
			Base:     *d.Base,
			Problems: viewProblems(ps),
		})
	case err != nil:
		return invalidRequest(http.StatusBadRequest, "configuration", "%v", err)
	}
	return a.change(c, publisher.NewApply(d.Key, operator(c), *d.Base, cfg))
}

func (a *admin) rollback(c echo.Context) error {
	var d rollbackDocument
	if err := readChange(c, &d); err != nil {
		return err
	}
	if err := checkKey(d.Key); err != nil {
		return err
	}
	if d.Base == nil || *d.Base == 0 {
		return invalidRequest(http.StatusBadRequest, "base", "is missing; it names the version in force")
	}
	if d.To == 0 {
		return invalidRequest(http.StatusBadRequest, "to", "is missing; it names the version whose content comes back")
	}
	return a.change(c, publisher.NewRollback(d.Key, operator(c), *d.Base, d.To))
}

func (a *admin) drain(c echo.Context) error {
	return a.changeDrain(c, false)
}

func (a *admin) undrain(c echo.Context) error {
	return a.changeDrain(c, true)
}

// changeDrain drains or undrains a target, based on the active version. It retries
// after a concurrent change.
func (a *admin) changeDrain(c echo.Context, undo bool) error {
	var d drainDocument
	if err := readChange(c, &d); err != nil {
		return err
	}
	if err := checkKey(d.Key); err != nil {
		return err
	}
	target := c.Param("target")
	if target == "" || len(target) > configuration.MaxTargetBytes {
		return invalidRequest(http.StatusBadRequest, "target", "is %q, allowed are 1 to %d bytes", truncate(target), configuration.MaxTargetBytes)
	}
	event := publisher.NewDrain(d.Key, operator(c), target, undo)
	r, err := a.service.Submit(c.Request().Context(), event)
	for range maxDrainRetries {
		if err != nil || r.State() != publisher.Stale {
			break
		}
		r, err = a.service.Submit(c.Request().Context(), event)
	}
	return a.writeResult(c, r, err)
}

func (a *admin) change(c echo.Context, event any) error {
	r, err := a.service.Submit(c.Request().Context(), event)
	return a.writeResult(c, r, err)
}

// writeResult writes the result of a change.
func (a *admin) writeResult(c echo.Context, r publisher.Result, err error) error {
	if err != nil {
		return invalidRequest(http.StatusServiceUnavailable, "publisher", "%v", err)
	}
	if r.State() == publisher.Applied {
		return c.JSON(http.StatusOK, appliedView{
			Version:  r.Version(),
			Base:     r.Base(),
			Repeated: r.Repeated(),
			Audited:  r.Audited(),
			Changes:  viewChanges(r.Changes()),
		})
	}
	e := outcomes[r.State()]
	return writeAdminProblem(c, e.status, adminProblem{
		Result:   r.State().String(),
		Title:    e.title,
		Field:    e.field,
		Detail:   r.Detail(),
		Base:     r.Base(),
		Current:  r.Current(),
		Changes:  viewChanges(r.Changes()),
		Problems: viewProblems(r.Problems()),
	})
}

func writeAdminProblem(c echo.Context, status int, d adminProblem) error {
	d.Type = adminPath + "#" + d.Result
	d.Status = status
	body, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "encode problem")
	}
	return c.Blob(status, problemType, append(body, '\n'))
}
