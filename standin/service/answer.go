package service

import (
	"encoding/json"
	"fmt"

	"github.com/amaranthlb/amaranthlb/standin/backend"
)

func (a Answer) encode() []byte {
	encoded, err := json.Marshal(a)
	if err != nil {
		panic("service: cannot encode answer: " + err.Error())
	}
	return encoded
}

// Check returns an error unless answer is the expected answer to the call. The caller does not know the request ID and
// the run number, so they only have to be present.
func Check(answer []byte, method, path string, body []byte) error {
	var got Answer
	if err := json.Unmarshal(answer, &got); err != nil {
		return fmt.Errorf("answer is not JSON: %w", err)
	}
	want := Answer{
		RequestID: got.RequestID, Number: got.Number,
		Method: method, Path: path, BodyHash: backend.BodyHash(body),
	}
	if got != want || got.RequestID == "" || got.Number == 0 {
		return fmt.Errorf("answer is %+v, want %+v", got, want)
	}
	return nil
}
