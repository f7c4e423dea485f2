package platform

import (
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/stricthttp/stricthttptest"
)

// Guards against a malformed response of the platform that is taken for a document or a VM list.
func TestMalformedResponsesOfPlatform(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		call func(address string) error
	}{
		"document": {"text", func(address string) error {
			_, err := NewClient("http://"+address).Config(t.Context(), "key", 0, time.Second)
			return err
		}},
		"VM list": {`{"revision":3}`, func(address string) error {
			_, err := NewClient("http://"+address).VMs(t.Context(), 0, time.Second)
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			stricthttptest.ExpectErrors(t, stricthttptest.Malformed("X-Revision: 3\r\n", c.body), c.call)
			stricthttptest.ExpectSuccess(t, stricthttptest.WellFormed("X-Revision: 3\r\n", c.body), c.call)
		})
	}
}
