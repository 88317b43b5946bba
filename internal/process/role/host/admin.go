package host

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/role/publisher/service"
	"greengagedoor.example/greengagedoor/internal/process/store"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

const (
	adminPath      = "/v1/admin"
	defaultHistory = 50
	maxHistory     = 1000
)

// admin serves the administration API.
type admin struct {
	guard   guard
	service *service.Service
	// rollout returns how many processes have the latest version, as last reported by
	// the directory; nil before the first report.
	rollout func() *membership.Rollout
}

// admin adds the administration endpoints and returns the duty that publishes
// changes.
func (e *Entry) admin(router *echo.Echo, g guard) (duty.Duty, error) {
	s, err := service.New(e.common.store, e.common.now)
	if err != nil {
		return duty.Duty{}, err
	}
	a := &admin{
		guard:   g,
		service: s,
		rollout: e.rollout.Load,
	}
	a.register(router)
	return duty.New("publisher", "Publishes configuration versions.", s.Gauge, s.Run)
}

func (a *admin) register(router *echo.Echo) {
	read := a.guard.installation(operatorAccess, readerAccess)
	write := a.guard.installation(operatorAccess)
	router.GET(adminPath+"/teams", a.teams)
	router.GET(adminPath+"/quotas", a.quotas)
	router.GET(adminPath+"/kinds", a.kinds)
	router.GET(adminPath+"/commitments", a.commitments)
	router.GET(adminPath+"/status", a.status, read)
	router.GET(adminPath+"/versions", a.versions, read)
	router.GET(adminPath+"/versions/:version", a.version, read)
	router.GET(adminPath+"/diff", a.diff, read)
	router.GET(adminPath+"/history", a.history, read)
	router.POST(adminPath+"/apply", a.apply, write)
	router.POST(adminPath+"/rollback", a.rollback, write)
	router.PUT(adminPath+"/targets/:target/drain", a.drain, write)
	router.DELETE(adminPath+"/targets/:target/drain", a.undrain, write)
}

// visible returns the active configuration and a function that reports whether the
// request may read a team. Operator and reader tokens of the installation may read
// all teams.
func (a *admin) visible(c echo.Context) (*configuration.Configuration, func(team string) bool, error) {
	cfg := a.guard.current()
	if cfg == nil {
		return nil, nil, invalidRequest(http.StatusServiceUnavailable, "configuration", "no version is in force here yet")
	}
	if a.guard.allows(c, "", operatorAccess, readerAccess) {
		return cfg, func(string) bool { return true }, nil
	}
	readable := map[string]bool{}
	for _, t := range cfg.Teams() {
		if cfg.Allows(bearer(c), t.Name(), operatorAccess, readerAccess) {
			readable[t.Name()] = true
		}
	}
	if len(readable) == 0 {
		return nil, nil, a.guard.refusal(c)
	}
	return cfg, func(team string) bool { return readable[team] }, nil
}

func (a *admin) teams(c echo.Context) error {
	cfg, mayRead, err := a.visible(c)
	if err != nil {
		return err
	}
	list := []teamView{}
	for _, t := range cfg.Teams() {
		if mayRead(t.Name()) {
			list = append(list, viewTeam(t))
		}
	}
	return c.JSON(http.StatusOK, map[string]any{
		"version": cfg.Version(),
		"teams":   list,
	})
}

func (a *admin) quotas(c echo.Context) error {
	cfg, mayRead, err := a.visible(c)
	if err != nil {
		return err
	}
	list := []quotaView{}
	for _, t := range cfg.Teams() {
		if mayRead(t.Name()) {
			list = append(list, quotaView{
				Team:  t.Name(),
				Share: t.Share(),
			})
		}
	}
	return c.JSON(http.StatusOK, map[string]any{
		"version": cfg.Version(),
		"quotas":  list,
	})
}

func (a *admin) kinds(c echo.Context) error {
	cfg, mayRead, err := a.visible(c)
	if err != nil {
		return err
	}
	list := []kindView{}
	for _, k := range cfg.Kinds() {
		if mayRead(k.Team()) {
			list = append(list, viewKind(k))
		}
	}
	return c.JSON(http.StatusOK, map[string]any{
		"version": cfg.Version(),
		"kinds":   list,
	})
}

func (a *admin) commitments(c echo.Context) error {
	cfg, mayRead, err := a.visible(c)
	if err != nil {
		return err
	}
	list := []commitmentView{}
	for _, k := range cfg.Kinds() {
		if mayRead(k.Team()) {
			list = append(list, commitmentView{
				Team:         k.Team(),
				Kind:         k.Name(),
				Urgency:      k.Urgency().String(),
				CommitmentMS: k.Commitment().Milliseconds(),
			})
		}
	}
	return c.JSON(http.StatusOK, map[string]any{
		"version":     cfg.Version(),
		"commitments": list,
	})
}

// storeError maps an error of the store to a refusal that names the field.
func storeError(err error, field string) error {
	if errors.Is(err, store.ErrNotFound) {
		return invalidRequest(http.StatusNotFound, field, "there is no such version; the last 100 are kept")
	}
	return invalidRequest(http.StatusServiceUnavailable, "store", "%v", err)
}

func (a *admin) status(c echo.Context) error {
	h, err := a.service.Head(c.Request().Context())
	if err != nil {
		return storeError(err, "version")
	}
	d := statusView{
		Stored: h.Version(),
	}
	if cfg := a.guard.current(); cfg != nil {
		d.Local = cfg.Version()
		d.Drained = cfg.Drained()
	}
	if s := a.rollout(); s != nil {
		d.Rollout = &rolloutView{
			Version: s.Version(),
			InForce: s.InForce(),
			Members: s.Members(),
		}
	}
	return c.JSON(http.StatusOK, d)
}

func (a *admin) versions(c echo.Context) error {
	h, err := a.service.Head(c.Request().Context())
	if err != nil {
		return storeError(err, "version")
	}
	list := []versionView{}
	if h.Version() > 0 {
		list = append(list, versionView{
			Version: h.Version(),
			Key:     h.ChangeKey(),
		})
	}
	for _, w := range h.Prior() {
		list = append(list, versionView{
			Version: w.Version(),
			Key:     w.ChangeKey(),
		})
	}
	return c.JSON(http.StatusOK, map[string]any{
		"versions": list,
	})
}

func (a *admin) load(c echo.Context, field, text string) (*configuration.Configuration, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return nil, invalidRequest(http.StatusBadRequest, field, "is %q, allowed is the number of a version", truncate(text))
	}
	cfg, err := a.service.Version(c.Request().Context(), n)
	if err != nil {
		return nil, storeError(err, field)
	}
	return cfg, nil
}

func (a *admin) version(c echo.Context) error {
	cfg, err := a.load(c, "version", c.Param("version"))
	if err != nil {
		return err
	}
	data, err := configuration.Encode(cfg)
	if err != nil {
		return err
	}
	return c.JSONBlob(http.StatusOK, data)
}

func (a *admin) diff(c echo.Context) error {
	from, err := a.load(c, "from", c.QueryParam("from"))
	if err != nil {
		return err
	}
	to, err := a.load(c, "to", c.QueryParam("to"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string]any{
		"changes": viewChanges(configuration.Diff(from, to)),
	})
}

func (a *admin) history(c echo.Context) error {
	limit := defaultHistory
	if text := c.QueryParam("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistory {
			return invalidRequest(http.StatusBadRequest, "limit", "is %q, allowed are 1 to %d", truncate(text), maxHistory)
		}
		limit = n
	}
	records, err := a.service.History(c.Request().Context(), limit)
	if err != nil {
		return storeError(err, "history")
	}
	list := []recordView{}
	for _, r := range records {
		list = append(list, viewRecord(r))
	}
	return c.JSON(http.StatusOK, map[string]any{
		"history": list,
	})
}
