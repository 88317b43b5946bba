package host

import (
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// Modes of access control.
const (
	// AccessAuto requires tokens unless the HTTP listener is on a loopback address.
	AccessAuto = "auto"
	// AccessOn requires tokens.
	AccessOn = "on"
	// AccessOff requires no tokens.
	AccessOff = "off"
)

// Access levels of tokens.
const (
	callerAccess   = "caller"
	operatorAccess = "operator"
	readerAccess   = "reader"
)

// WithAccess returns a copy with the mode of access control, or an error for an
// unknown mode. The default is AccessAuto.
func (c Common) WithAccess(mode string) (Common, error) {
	switch mode {
	case AccessAuto, AccessOn, AccessOff:
		c.access = mode
		return c, nil
	}
	return Common{}, errors.Errorf("access mode is %q, want %s, %s or %s", mode, AccessAuto, AccessOn, AccessOff)
}

// openAccess reports whether requests need no token.
func (c Common) openAccess() bool {
	switch c.access {
	case AccessOn:
		return false
	case AccessOff:
		return true
	}
	host, _, err := net.SplitHostPort(c.httpAddress)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// guard authorizes requests by their tokens. It reads the active configuration for
// each request, so that tokens can be replaced without a restart.
type guard struct {
	open    bool
	current func() *configuration.Configuration
}

// bearer returns the bearer token of a request, or an empty string.
func bearer(c echo.Context) string {
	scheme, token, _ := strings.Cut(c.Request().Header.Get(echo.HeaderAuthorization), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

func (g guard) allows(c echo.Context, team string, accesses ...string) bool {
	if g.open {
		return true
	}
	cfg := g.current()
	return cfg != nil && cfg.Allows(bearer(c), team, accesses...)
}

// refusal returns the reason why a request is not permitted. It does not reveal
// which tokens exist.
func (g guard) refusal(c echo.Context) error {
	if bearer(c) == "" {
		c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
		return forbidden(http.StatusUnauthorized, "a bearer token is needed")
	}
	if g.current() == nil {
		return forbidden(http.StatusServiceUnavailable, "cannot be checked, since no configuration is in force; the first is applied with config apply")
	}
	return forbidden(http.StatusForbidden, "the token does not give this access")
}

// team returns middleware that requires access to the team in the path.
func (g guard) team(accesses ...string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if team := c.Param("team"); team == "" || !g.allows(c, team, accesses...) {
				return g.refusal(c)
			}
			return next(c)
		}
	}
}

// installation returns middleware that requires access to the whole installation.
func (g guard) installation(accesses ...string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if !g.allows(c, "", accesses...) {
				return g.refusal(c)
			}
			return next(c)
		}
	}
}

// debug is middleware that requires operator or reader access for metrics and
// dumps, since they show the jobs of all teams.
func (g guard) debug(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if strings.HasPrefix(c.Path(), "/debug/") && !g.allows(c, "", operatorAccess, readerAccess) {
			return g.refusal(c)
		}
		return next(c)
	}
}

// operator returns the identity of the sender of a request: the name in X-Operator
// and the prefix of the token's hash, which the configuration also shows.
func operator(c echo.Context) string {
	name := c.Request().Header.Get("X-Operator")
	if name == "" || len(name) > 40 {
		name = "operator"
	}
	token := bearer(c)
	if token == "" {
		return name
	}
	sum := sha256.Sum256([]byte(token))
	return name + "/" + hex.EncodeToString(sum[:4])
}
