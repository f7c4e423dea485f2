package ticket

import (
	"bytes"
	"errors"
	"math/rand"
	"strings"
	"testing"
	"time"
)

var (
	oldKey = bytes.Repeat([]byte{1}, 32)
	newKey = bytes.Repeat([]byte{2}, 32)
)

func sampleTicket() Ticket {
	return Ticket{
		ID:       ID{1, 2, 3},
		Executor: Gate{Name: "gate-1", Address: "127.0.0.1:7001", Zone: "a", Region: "r", Incarnation: 1 << 63},
		Witness:  Gate{Name: "gate-2", Address: "127.0.0.1:7002", Zone: "b", Region: "r", Incarnation: 7},
		Customer: "panaderia-12",
		Entry:    "entry-3",
		Pool:     "orders",
		Body:     Digest("POST", "/orders", []byte("{}")),
		Expiry:   time.UnixMilli(1_700_000_000_123).UTC(),
	}
}

func newCodec(t testing.TB, keys ...[]byte) *Codec {
	t.Helper()
	codec, err := NewCodec(keys...)
	if err != nil {
		t.Fatal(err)
	}
	return codec
}

func encode(t testing.TB, codec *Codec) []byte {
	t.Helper()
	data, err := codec.Encode(sampleTicket())
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a field that is lost or changed by encoding and decoding.
func TestRoundTrip(t *testing.T) {
	codec := newCodec(t, newKey)
	got, err := codec.Decode(encode(t, codec))
	if err != nil || got != sampleTicket() {
		t.Fatalf("binary form: got %+v, %v", got, err)
	}
	text, err := codec.EncodeText(sampleTicket())
	if err != nil {
		t.Fatal(err)
	}
	got, err = codec.DecodeText(text)
	if err != nil || got != sampleTicket() {
		t.Fatalf("text form: got %+v, %v", got, err)
	}
	if strings.ContainsAny(text, "+/= \r\n") {
		t.Fatalf("text form is not URL-safe: %s", text)
	}
}

// Guards against a key rotation that rejects tickets in flight, or that keeps accepting a removed key.
func TestRotation(t *testing.T) {
	cases := []struct {
		name         string
		signerKeys   [][]byte
		verifierKeys [][]byte
		valid        bool
	}{
		{"before rotation", [][]byte{oldKey}, [][]byte{oldKey, newKey}, true},
		{"during rotation, old signer", [][]byte{oldKey, newKey}, [][]byte{newKey, oldKey}, true},
		{"during rotation, new signer", [][]byte{newKey, oldKey}, [][]byte{oldKey, newKey}, true},
		{"after rotation", [][]byte{oldKey}, [][]byte{newKey}, false},
	}
	for _, c := range cases {
		_, err := newCodec(t, c.verifierKeys...).Decode(encode(t, newCodec(t, c.signerKeys...)))
		var forged *ForgedError
		if c.valid != (err == nil) || !c.valid && !errors.As(err, &forged) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// Guards against accepting a ticket with any altered bit.
func TestAlteredBitIsRejected(t *testing.T) {
	codec := newCodec(t, newKey)
	data := encode(t, codec)
	for i := range data {
		for bit := 0; bit < 8; bit++ {
			altered := bytes.Clone(data)
			altered[i] ^= 1 << bit
			if _, err := codec.Decode(altered); err == nil {
				t.Fatalf("bit %d of byte %d was altered without an error", bit, i)
			}
		}
	}
}

// Guards against errors of the wrong type, which would make a gate reply with the wrong reason.
func TestErrorTypes(t *testing.T) {
	codec := newCodec(t, newKey)
	data := encode(t, codec)
	appendSignature := func(body []byte) []byte {
		return append(bytes.Clone(body), sign(newKey, body)...)
	}
	body := data[:len(data)-macSize]
	short := bytes.Clone(body)
	short[1+IDSize+8] = MaxFieldSize
	cases := []struct {
		name  string
		data  []byte
		field string
	}{
		{"empty", nil, "size"},
		{"short", data[:minSize-1], "size"},
		{"long", make([]byte, MaxSize+1), "size"},
		{"version", append([]byte{9}, data[1:]...), "version"},
		{"extra byte with a valid signature", appendSignature(append(bytes.Clone(body), 0)), "size"},
		{"length beyond the end with a valid signature", appendSignature(short), "executor name"},
	}
	for _, c := range cases {
		_, err := codec.Decode(c.data)
		var malformed *MalformedError
		if !errors.As(err, &malformed) || malformed.Field != c.field {
			t.Errorf("%s: got %v, want field %q", c.name, err, c.field)
		}
	}
	var malformed *MalformedError
	for _, text := range []string{"a b", "====", strings.Repeat("A", 2*MaxSize)} {
		if _, err := codec.DecodeText(text); !errors.As(err, &malformed) {
			t.Errorf("text %.10q: got %v", text, err)
		}
	}
	var forged *ForgedError
	if _, err := codec.Decode(append(bytes.Clone(body), make([]byte, macSize)...)); !errors.As(err, &forged) {
		t.Errorf("zero signature: got %v", err)
	}
}

// Guards against a codec without keys or with a short key, which would leave tickets unauthenticated, and against an
// encoded ticket that can't be decoded.
func TestInvalidKeysAndOversizedField(t *testing.T) {
	var keyError *KeyError
	for _, keys := range [][][]byte{nil, {newKey, []byte("short")}} {
		if _, err := NewCodec(keys...); !errors.As(err, &keyError) {
			t.Errorf("keys %v: got %v", keys, err)
		}
	}
	long := sampleTicket()
	long.Pool = strings.Repeat("p", MaxFieldSize+1)
	var malformed *MalformedError
	if _, err := newCodec(t, newKey).Encode(long); !errors.As(err, &malformed) || malformed.Field != "pool" {
		t.Errorf("long pool: got %v", err)
	}
}

// Guards against a ticket that is used for another request, customer or pool.
func TestBinds(t *testing.T) {
	ticket := sampleTicket()
	valid := Digest("POST", "/orders", []byte("{}"))
	cases := []struct {
		name     string
		customer string
		pool     string
		digest   BodyDigest
		want     bool
	}{
		{"same", "panaderia-12", "orders", valid, true},
		{"customer", "other", "orders", valid, false},
		{"pool", "panaderia-12", "other", valid, false},
		{"method", "panaderia-12", "orders", Digest("PUT", "/orders", []byte("{}")), false},
		{"byte moved from path to body", "panaderia-12", "orders", Digest("POST", "/order", []byte("s{}")), false},
	}
	for _, c := range cases {
		if got := ticket.Binds(c.customer, c.pool, c.digest); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
	if left := ticket.Remaining(ticket.Expiry.Add(time.Second)); left != -time.Second {
		t.Errorf("time left is %v, want -1s", left)
	}
}

// Guards against an ID from a random source that ends early.
func TestNewID(t *testing.T) {
	first, err := NewID(rand.New(rand.NewSource(1)))
	if err != nil || first == (ID{}) || len(first.String()) != 2*IDSize {
		t.Fatalf("got %v, %v", first, err)
	}
	if _, err := NewID(strings.NewReader("short")); err == nil {
		t.Fatal("a source that ended early gave an ID")
	}
}

// FuzzDecode guards against a panic of the decoder, and against a decoded ticket with a second encoding. The input is
// decoded unchanged and again with a valid signature, since random data never gets past the signature check.
func FuzzDecode(f *testing.F) {
	codec := newCodec(f, newKey, oldKey)
	f.Fuzz(func(t *testing.T, data []byte) {
		if got, err := codec.Decode(data); err == nil {
			checkCanonical(t, codec, got, data)
		}
		signed := append(bytes.Clone(data), sign(newKey, data)...)
		if got, err := codec.Decode(signed); err == nil {
			checkCanonical(t, codec, got, signed)
		}
		codec.DecodeText(string(data))
	})
}

func checkCanonical(t *testing.T, codec *Codec, got Ticket, data []byte) {
	reencoded, err := codec.Encode(got)
	if err != nil {
		t.Fatal(err)
	}
	if body := len(data) - macSize; !bytes.Equal(reencoded[:body], data[:body]) {
		t.Fatalf("decoded %x, encoded %x", data, reencoded)
	}
}
