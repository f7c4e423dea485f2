package placement

import (
	"bytes"
	"errors"
	"testing"
	"time"
)

var (
	oldKey   = bytes.Repeat([]byte("o"), 32)
	newKey   = bytes.Repeat([]byte("n"), 32)
	testTime = time.Unix(1_700_000_000, 0)
)

func sealChatToken(t *testing.T, key []byte) string {
	t.Helper()
	token := Token{Kind: Chat, Customer: "rose", Pool: "m", Target: "e1", Chat: "c", Expires: testTime.Add(time.Hour)}
	text, err := NewCodec([][]byte{key}).Seal(token)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Guards against accepting a token that was altered, has expired, or has another customer or kind.
func TestOpenRejectsInvalidTokens(t *testing.T) {
	codec := NewCodec([][]byte{newKey, oldKey})
	altered := []byte(sealChatToken(t, newKey))
	altered[10] ^= 1
	cases := []struct {
		name     string
		text     string
		kind     Kind
		customer string
		now      time.Time
		want     error
	}{
		{"valid", sealChatToken(t, newKey), Chat, "rose", testTime, nil},
		{"rotated key", sealChatToken(t, oldKey), Chat, "rose", testTime, nil},
		{"altered", string(altered), Chat, "rose", testTime, ErrForged},
		{"expired", sealChatToken(t, newKey), Chat, "rose", testTime.Add(2 * time.Hour), ErrExpired},
		{"other customer", sealChatToken(t, newKey), Chat, "press", testTime, ErrWrongCustomer},
		{"other kind", sealChatToken(t, newKey), Stream, "rose", testTime, ErrMalformed},
		{"empty", "", Chat, "rose", testTime, ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := codec.Open(c.text, c.kind, c.customer, c.now); !errors.Is(err, c.want) {
				t.Fatalf("error is %v, want %v", err, c.want)
			}
		})
	}
}

// Guards against a panic and against an accepted forgery for arbitrary input.
func FuzzOpen(f *testing.F) {
	codec := NewCodec([][]byte{newKey})
	valid, _ := codec.Seal(Token{Kind: Chat, Customer: "rose", Expires: testTime.Add(time.Hour)})
	f.Add(valid)
	f.Add("AAAA")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := codec.Open(text, Chat, "rose", testTime); err == nil && text != valid {
			t.Fatalf("accepted forged token %q", text)
		}
	})
}
