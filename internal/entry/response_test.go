package entry

import (
	"errors"
	"testing"

	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

// Guards against a status from a gate or a witness that no response can have: net/http panics at some and writes others.
func TestAnswerWithInvalidStatusIsBroken(t *testing.T) {
	accept := map[string]func(r *response, status int32) error{
		"answer in progress": func(r *response, status int32) error {
			return r.acceptAdmitted(&pb.Admitted{Status: status})
		},
		"recorded answer": func(r *response, status int32) error {
			return r.acceptResult(wire.ResultFrom(&pb.Answer{Status: status}))
		},
	}
	for name, accept := range accept {
		for status, valid := range map[int32]bool{-1: false, 0: false, 99: false, 101: false, 199: false, 200: true, 404: true, 599: true, 600: false, 1000: false} {
			r := new(response)
			err := accept(r, status)
			var refusal *Refusal
			broken := errors.As(err, &refusal) && refusal.Reason == reason.BrokenAnswer && refusal.Ran == reason.MayHaveRun && r.admitted == nil
			if valid != (err == nil) || !valid && !broken {
				t.Errorf("%s, status %d: %v", name, status, err)
			}
		}
	}
	if err := new(response).acceptResult(wire.ResultFrom(nil)); err == nil {
		t.Error("a message without an answer was accepted")
	}
}
