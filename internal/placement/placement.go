// Package placement encodes the tokens that a caller keeps between requests: the placement token of a chat and the
// token of a stream.
//
// Both are opaque to the caller and authenticated with the fleet key, so that the fleet needs no state per chat. Open
// rejects a token that was altered, has expired or belongs to another customer.
package placement

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"time"
)

// Kind is the purpose of a token. It is authenticated, so that a token of one kind is not accepted as another.
type Kind byte

// Kinds of tokens.
const (
	Chat   Kind = 1
	Stream Kind = 2
)

// Token identifies the target that caches the prefix of a chat, or the stream that a caller reads.
type Token struct {
	Kind     Kind
	Customer string
	Pool     string
	Target   string
	// Version is the model version whose cache holds the prefix.
	Version string
	// Chat is the key of the chat.
	Chat string
	// Request is the id of the stream's request.
	Request string
	Expires time.Time
}

// Errors of Open. Seal returns ErrMalformed for a field that is too long.
var (
	ErrMalformed     = errors.New("token is malformed")
	ErrForged        = errors.New("token signature is invalid")
	ErrExpired       = errors.New("token has expired")
	ErrWrongCustomer = errors.New("token belongs to another customer")
)

const (
	tagBytes        = 12
	maxFieldBytes   = 255
	maxEncodedBytes = 2048
)

// Codec encodes and verifies tokens.
type Codec struct {
	keys [][]byte
}

// NewCodec returns a codec that signs with the first key and accepts signatures of all keys, which allows key rotation.
func NewCodec(keys [][]byte) *Codec {
	return &Codec{keys: keys}
}

// Seal encodes and signs a token.
func (c *Codec) Seal(t Token) (string, error) {
	buf := make([]byte, 0, 128)
	buf = append(buf, byte(t.Kind))
	buf = binary.BigEndian.AppendUint32(buf, uint32(t.Expires.Unix()))
	for _, field := range []string{t.Customer, t.Pool, t.Target, t.Version, t.Chat, t.Request} {
		if len(field) > maxFieldBytes {
			return "", ErrMalformed
		}
		buf = append(buf, byte(len(field)))
		buf = append(buf, field...)
	}
	buf = append(buf, sign(c.keys[0], buf)...)
	return base64.RawURLEncoding.EncodeToString(buf), nil
}

// Open verifies and decodes a token of the given kind and customer.
func (c *Codec) Open(text string, kind Kind, customer string, now time.Time) (Token, error) {
	if len(text) > maxEncodedBytes {
		return Token{}, ErrMalformed
	}
	sealed, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(sealed) < tagBytes+5 {
		return Token{}, ErrMalformed
	}
	body, tag := sealed[:len(sealed)-tagBytes], sealed[len(sealed)-tagBytes:]
	if !c.verify(body, tag) {
		return Token{}, ErrForged
	}
	token, err := decode(body)
	switch {
	case err != nil:
		return Token{}, err
	case token.Kind != kind:
		return Token{}, ErrMalformed
	case token.Customer != customer:
		return Token{}, ErrWrongCustomer
	case now.After(token.Expires):
		return Token{}, ErrExpired
	}
	return token, nil
}

func (c *Codec) verify(body, tag []byte) bool {
	for _, key := range c.keys {
		if subtle.ConstantTimeCompare(sign(key, body), tag) == 1 {
			return true
		}
	}
	return false
}

func sign(key, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("placement"))
	mac.Write(body)
	return mac.Sum(nil)[:tagBytes]
}

func decode(body []byte) (Token, error) {
	token := Token{Kind: Kind(body[0])}
	token.Expires = time.Unix(int64(binary.BigEndian.Uint32(body[1:5])), 0)
	rest := body[5:]
	for _, field := range []*string{&token.Customer, &token.Pool, &token.Target, &token.Version, &token.Chat, &token.Request} {
		if len(rest) == 0 || len(rest) < 1+int(rest[0]) {
			return Token{}, ErrMalformed
		}
		*field = string(rest[1 : 1+rest[0]])
		rest = rest[1+rest[0]:]
	}
	if len(rest) != 0 {
		return Token{}, ErrMalformed
	}
	return token, nil
}
