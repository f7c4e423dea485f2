package platform

import (
	"strings"
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

// Guards against the beginning of a document over the size limit that is taken for the whole one.
func TestDocumentOverTheLimitIsRejected(t *testing.T) {
	for length, valid := range map[int]bool{maxBodyBytes: true, maxBodyBytes + 1: false} {
		address := stricthttptest.ServeText(t, stricthttptest.WellFormed("X-Revision: 3\r\n", strings.Repeat("a: 1\n", length/5)+strings.Repeat("#", length%5))["length"])
		document, err := NewClient("http://"+address).Config(t.Context(), "key", 0, time.Second)
		if (err == nil) != valid || valid && len(document.Body) != length {
			t.Errorf("%d bytes: got %d, %v", length, len(document.Body), err)
		}
	}
}
