package router_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

// Guards against a malformed relative duration that is not counted, and against a change of how targets are chosen that is
// logged not at all or with each response.
func TestStatedRelativeDurationIsRecorded(t *testing.T) {
	f, targets := statingFleet(t, 1, 1, "app", platformtest.Behavior{Load: "1,0,8,slow"})
	router := f.routers[0]
	send := func(first, count int) {
		for i := range count {
			if got := f.send(get("/look/1", fmt.Sprint(first+i))); got.status != http.StatusOK {
				t.Fatalf("status %d, %s, %v", got.status, got.body, got.err)
			}
		}
	}
	const begun = "targets state how long work takes"
	send(0, 3)
	await(t, "the malformed figure is logged", func() bool {
		return strings.Count(router.output.String(), `"relative_duration_invalid":"slow"`) == 3
	})
	if strings.Contains(router.output.String(), begun) {
		t.Error("a malformed figure enables the comparison of durations")
	}
	targets[0].SetBehavior(func(*http.Request) platformtest.Behavior { return platformtest.Behavior{Load: "1,0,8,250"} })
	send(3, 3)
	await(t, "the figure is logged", func() bool { return strings.Contains(router.output.String(), `"relative_duration":2.5`) })
	if count := strings.Count(router.output.String(), begun); count != 1 {
		t.Errorf("the first figure is logged %d times", count)
	}
	response, err := http.Get("http://" + router.config.ReadyAddress + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	metrics, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	for kind, want := range map[string]string{"relative_duration_invalid": "3", "relative_duration_begun": "1"} {
		found := false
		for line := range strings.SplitSeq(string(metrics), "\n") {
			found = found || strings.Contains(line, `kind="`+kind+`"`) && strings.HasSuffix(line, " "+want)
		}
		if !found {
			t.Errorf("no event %s with %s", kind, want)
		}
	}
}
