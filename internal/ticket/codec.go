package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"time"
)

const (
	// MinKeySize is the smallest accepted key size in bytes.
	MinKeySize = 16
	// MaxFieldSize is the largest size of a text field in bytes: its length is one byte on the wire.
	MaxFieldSize = 255

	version = 1
	// signContext separates ticket signatures from other uses of the fleet key.
	signContext = "amaranthlb ticket v1\x00"
	macSize     = sha256.Size
	// textFieldCount is the number of text fields: four for each of two gates, customer, entry and pool.
	textFieldCount = 2*4 + 3
	fixedSize      = 1 + IDSize + 8 + 8 + 8 + sha256.Size + macSize
	minSize        = fixedSize + textFieldCount
	// MaxSize is the largest size of an encoded ticket in bytes.
	MaxSize = minSize + textFieldCount*MaxFieldSize
)

// textEncoding is URL-safe and rejects nonzero trailing padding bits, so a ticket has exactly one text form.
var textEncoding = base64.RawURLEncoding.Strict()

// Codec signs and verifies tickets.
type Codec struct {
	keys [][]byte
}

// NewCodec returns a codec that signs with the first key and verifies with all.
func NewCodec(keys ...[]byte) (*Codec, error) {
	if len(keys) == 0 {
		return nil, &KeyError{Problem: "no key given"}
	}
	codec := &Codec{}
	for i, key := range keys {
		if len(key) < MinKeySize {
			return nil, &KeyError{Index: i, Problem: fmt.Sprintf("%d bytes, need at least %d", len(key), MinKeySize)}
		}
		codec.keys = append(codec.keys, append([]byte(nil), key...))
	}
	return codec, nil
}

// Encode returns the signed binary form. It fails only for a text field over MaxFieldSize.
func (c *Codec) Encode(t Ticket) ([]byte, error) {
	w := encoder{data: make([]byte, 0, 2*minSize)}
	w.data = append(w.data, version)
	w.data = append(w.data, t.ID[:]...)
	w.uint64(uint64(t.Expiry.UnixMilli()))
	w.gate("executor", t.Executor)
	w.gate("witness", t.Witness)
	w.text("customer", t.Customer)
	w.text("entry", t.Entry)
	w.text("pool", t.Pool)
	w.data = append(w.data, t.Body[:]...)
	if w.err != nil {
		return nil, w.err
	}
	return append(w.data, sign(c.keys[0], w.data)...), nil
}

// Decode verifies and parses the binary form.
func (c *Codec) Decode(data []byte) (Ticket, error) {
	if len(data) < minSize || len(data) > MaxSize {
		return Ticket{}, &MalformedError{Field: "size", Problem: fmt.Sprintf("%d bytes", len(data))}
	}
	if data[0] != version {
		return Ticket{}, &MalformedError{Field: "version", Problem: fmt.Sprintf("%d is not supported", data[0])}
	}
	body, mac := data[:len(data)-macSize], data[len(data)-macSize:]
	if !c.verify(body, mac) {
		return Ticket{}, &ForgedError{}
	}
	return parse(body)
}

// EncodeText returns the signed ticket in URL-safe base64 without padding, for HTTP headers.
func (c *Codec) EncodeText(t Ticket) (string, error) {
	data, err := c.Encode(t)
	if err != nil {
		return "", err
	}
	return textEncoding.EncodeToString(data), nil
}

// DecodeText verifies and parses the text form.
func (c *Codec) DecodeText(text string) (Ticket, error) {
	if len(text) > textEncoding.EncodedLen(MaxSize) {
		return Ticket{}, &MalformedError{Field: "size", Problem: fmt.Sprintf("%d characters", len(text))}
	}
	data, err := textEncoding.DecodeString(text)
	if err != nil {
		return Ticket{}, &MalformedError{Field: "text", Problem: err.Error()}
	}
	return c.Decode(data)
}

// verify tries every key, so that its duration does not reveal which key signed.
func (c *Codec) verify(body, mac []byte) bool {
	verified := false
	for _, key := range c.keys {
		if hmac.Equal(mac, sign(key, body)) {
			verified = true
		}
	}
	return verified
}

func sign(key, body []byte) []byte {
	hash := hmac.New(sha256.New, key)
	hash.Write([]byte(signContext))
	hash.Write(body)
	return hash.Sum(nil)
}

func parse(body []byte) (Ticket, error) {
	r := decoder{data: body[1:]}
	var t Ticket
	copy(t.ID[:], r.take("id", IDSize))
	t.Expiry = time.UnixMilli(int64(r.uint64("expiry"))).UTC()
	t.Executor = r.gate("executor")
	t.Witness = r.gate("witness")
	t.Customer = r.text("customer")
	t.Entry = r.text("entry")
	t.Pool = r.text("pool")
	copy(t.Body[:], r.take("body digest", len(t.Body)))
	if r.err == nil && len(r.data) > 0 {
		r.err = &MalformedError{Field: "size", Problem: fmt.Sprintf("%d bytes too many", len(r.data))}
	}
	if r.err != nil {
		return Ticket{}, r.err
	}
	return t, nil
}

type encoder struct {
	data []byte
	err  error
}

func (w *encoder) uint64(v uint64) {
	w.data = binary.BigEndian.AppendUint64(w.data, v)
}

func (w *encoder) text(field, text string) {
	if len(text) > MaxFieldSize {
		w.err = &MalformedError{Field: field, Problem: fmt.Sprintf("%d bytes, at most %d", len(text), MaxFieldSize)}
		return
	}
	w.data = append(w.data, byte(len(text)))
	w.data = append(w.data, text...)
}

func (w *encoder) gate(field string, g Gate) {
	w.text(field+" name", g.Name)
	w.text(field+" address", g.Address)
	w.text(field+" zone", g.Zone)
	w.text(field+" region", g.Region)
	w.uint64(g.Incarnation)
}

// decoder returns zero values after its first error.
type decoder struct {
	data []byte
	err  error
}

func (r *decoder) take(field string, size int) []byte {
	if r.err == nil && len(r.data) < size {
		r.err = &MalformedError{Field: field, Problem: "truncated"}
	}
	if r.err != nil {
		return nil
	}
	data := r.data[:size]
	r.data = r.data[size:]
	return data
}

func (r *decoder) uint64(field string) uint64 {
	data := r.take(field, 8)
	if data == nil {
		return 0
	}
	return binary.BigEndian.Uint64(data)
}

func (r *decoder) text(field string) string {
	size := r.take(field, 1)
	if size == nil {
		return ""
	}
	return string(r.take(field, int(size[0])))
}

func (r *decoder) gate(field string) Gate {
	return Gate{
		Name:        r.text(field + " name"),
		Address:     r.text(field + " address"),
		Zone:        r.text(field + " zone"),
		Region:      r.text(field + " region"),
		Incarnation: r.uint64(field + " incarnation"),
	}
}
