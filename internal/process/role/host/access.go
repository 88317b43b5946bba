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

// The modes of access control.
const (
	// AccessAuto needs tokens unless the listener is on loopback.
	AccessAuto = "auto"
	// AccessOn needs tokens.
	AccessOn = "on"
	// AccessOff needs none.
	AccessOff = "off"
)

// The accesses of tokens.
const (
	callerAccess   = "caller"
	operatorAccess = "operator"
	readerAccess   = "reader"
)

// WithAccess sets the mode of access control; AccessAuto is the default.
func (c Common) WithAccess(mode string) (Common, error) {
	switch mode {
	case AccessAuto, AccessOn, AccessOff:
		c.access = mode
		return c, nil
	}
	return Common{}, errors.Errorf("access is %q, allowed are %s, %s and %s", mode, AccessAuto, AccessOn, AccessOff)
}

// openAccess tells whether requests need no token.
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

// guard decides by token who may do what. It looks at the configuration in force
// at each request, so that tokens are replaced without a restart.
type guard struct {
	open    bool
	current func() *configuration.Configuration
}

// bearer returns the token of a request, empty for none.
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

// refusal says why a request is not allowed, without telling which tokens exist.
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

// team admits requests about the team in the path.
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

// whole admits requests about the whole installation.
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

// debug admits requests for metrics and dumps, which show all teams' jobs.
func (g guard) debug(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if strings.HasPrefix(c.Path(), "/debug/") && !g.allows(c, "", operatorAccess, readerAccess) {
			return g.refusal(c)
		}
		return next(c)
	}
}

// operator names who sent a request: the name that the operator gives, and the
// beginning of the token's hash, which the configuration shows too.
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
