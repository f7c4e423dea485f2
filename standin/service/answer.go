package service

import (
	"encoding/json"
	"fmt"

	"github.com/amaranthlb/amaranthlb/standin/backend"
)

func (a Answer) encode() []byte {
	encoded, err := json.Marshal(a)
	if err != nil {
		panic("service: answer can't be encoded: " + err.Error())
	}
	return encoded
}

// Check reports whether an answer is the one to a call. Request id and number are not known to a caller
// and are only required to be there.
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
