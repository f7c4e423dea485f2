package entry

import (
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
	"github.com/amaranthlb/amaranthlb/internal/routing"
)

// callService forwards a call to a service that is not a model.
func (e *Entry) callService(c *caller) error {
	pool, ok := c.snapshot.Catalogue.Pool(c.Param("pool"))
	if !ok || pool.Kind != catalogue.Service {
		return refuse(reason.UnknownPool, "the catalogue has no service %q", c.Param("pool"))
	}
	servicePath, err := cleanPath(c.Request(), pool.Name)
	if err != nil {
		return err
	}
	body, err := e.readBody(c)
	if err != nil {
		return err
	}
	limit, err := deadline(c, pool)
	if err != nil {
		return err
	}
	id := uuid.NewString()
	location := servicePath
	if query := c.Request().URL.RawQuery; query != "" {
		location += "?" + query
	}
	request := &request{
		id:          id,
		customer:    c.customer,
		pool:        pool,
		method:      c.Request().Method,
		path:        location,
		contentType: c.Request().Header.Get("Content-Type"),
		body:        body,
		deadline:    time.Now().Add(limit),
		chatHash:    rendezvous.Hash(id),
		holder:      routing.NoHolder,
		repeatable:  !pool.NonRepeatableCall(c.Request().Method, servicePath),
	}
	if !request.repeatable {
		return e.serveOnce(c, request)
	}
	return e.serve(c, request)
}

// cleanPath returns the path within the service. It refuses paths that a service might interpret differently from the
// catalogue's list of non-repeatable calls, since such a call would bypass the list.
func cleanPath(r *http.Request, pool string) (string, error) {
	decoded := strings.TrimPrefix(r.URL.Path, "/v1/services/"+pool)
	if decoded == "" {
		decoded = "/"
	}
	trimmed := strings.TrimSuffix(decoded, "/")
	if trimmed != "" && path.Clean(trimmed) != trimmed {
		return "", refuse(reason.BadRequest, "path %q is not in its shortest form", decoded)
	}
	if strings.ContainsAny(decoded, "\\;%?#") || strings.ContainsFunc(decoded, isControl) {
		return "", refuse(reason.BadRequest, "path %q holds a character that is not allowed", decoded)
	}
	return r.URL.EscapedPath()[len("/v1/services/")+len(pool):], nil
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }
