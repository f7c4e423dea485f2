package replay

import (
	"net/http"
	"testing"

	"github.com/amaranthlb/amaranthlb/internal/stricthttp/stricthttptest"
)

// Guards against a malformed response that a replay counts as an answer, or reads measures from.
func TestMalformedAnswers(t *testing.T) {
	client := NewClient(parse(t, firstTurn), &Fleet{}, nil)
	defer client.http.CloseIdleConnections()
	for name, call := range map[string]func(address string) error{
		"answer": func(address string) error {
			answer, err := client.doAt(t.Context(), address, exchange{method: http.MethodPost, path: "/", body: []byte("body")})
			if err != nil {
				return err
			}
			_, err = readAnswer(answer)
			return err
		},
		"measure": func(address string) error { return client.getJSON(t.Context(), address, "/", &struct{}{}) },
		"fault":   func(address string) error { return client.faults.post(t.Context(), address, "/", struct{}{}) },
	} {
		t.Run(name, func(t *testing.T) {
			stricthttptest.ExpectErrors(t, stricthttptest.Malformed("", `{"answer":1}`), call)
			stricthttptest.ExpectSuccess(t, stricthttptest.WellFormed("", `{"answer":1}`), call)
		})
	}
}
