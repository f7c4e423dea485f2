package router_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/amaranthlb/amaranthlb/internal/router"
	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

// Guards against reports of unreachable targets that are not sent, not received or not taken over. Each of the six routers
// is one of those that retry a target for about half of the 12 targets, so the last one obeys reports on some.
func TestUnreachableTargetsAreReported(t *testing.T) {
	const routers, away = 6, 12
	zones := []string{"a", "b", "c"}
	started := 0
	f := newFleetWith(t, routers, func(config *router.Config) {
		config.Zone = zones[started%len(zones)]
		started++
	})
	for i := range away {
		f.target(fmt.Sprint("away", i), "app", platformtest.Behavior{}).Stop()
	}
	f.target("alive", "app", platformtest.Behavior{})
	f.awaitReady()
	// The last router gets no request, so it has only the reports of others.
	last := f.routers[routers-1]
	send := 0
	await(t, "the last router learns of unreachable targets", func() bool {
		for _, inst := range f.routers[:routers-1] {
			send++
			inst.send(context.Background(), get("/look/", fmt.Sprint("before", send)))
		}
		return strings.Contains(last.output.String(), "targets blocked by reports of other routers")
	})
	if strings.Contains(last.output.String(), `"msg":"tried"`) {
		t.Error("the last router has tried targets itself")
	}
	await(t, "the last router uses the target that is alive", func() bool {
		send++
		return last.send(context.Background(), get("/look/", fmt.Sprint("after", send))).status == http.StatusOK
	})
}
