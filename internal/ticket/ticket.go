package ticket

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"time"
)

// IDSize is the size of a ticket's nonce in bytes.
const IDSize = 16

// ID is the nonce that identifies a ticket.
type ID [IDSize]byte

// String returns the ID in hexadecimal.
func (id ID) String() string {
	return hex.EncodeToString(id[:])
}

// NewID reads an ID from a source of randomness. Production code passes crypto/rand.Reader, since a repeated
// ID would make one request answer for another.
func NewID(random io.Reader) (ID, error) {
	var id ID
	_, err := io.ReadFull(random, id[:])
	return id, err
}

// Gate identifies one process of a gate.
type Gate struct {
	Name        string
	Address     string
	Zone        string
	Region      string
	Incarnation uint64
}

// BodyDigest is the SHA-256 digest of the method, path and body of a request.
type BodyDigest [sha256.Size]byte

// Digest returns the digest over method, path and body.
func Digest(method, path string, body []byte) BodyDigest {
	hash := sha256.New()
	writeLengthPrefixed(hash, method)
	writeLengthPrefixed(hash, path)
	hash.Write(body)
	var digest BodyDigest
	hash.Sum(digest[:0])
	return digest
}

// writeLengthPrefixed writes the length of the text before the text, so that moving a byte from the path to the body
// changes the digest.
func writeLengthPrefixed(w io.Writer, text string) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(text)))
	w.Write(size[:])
	io.WriteString(w, text)
}

// Ticket is the permission to run one request at most once.
type Ticket struct {
	ID       ID
	Executor Gate
	Witness  Gate
	Customer string
	Entry    string
	Pool     string
	Body     BodyDigest
	// Expiry is wall-clock time with a resolution of one millisecond.
	Expiry time.Time
}

// Binds reports whether the ticket was issued for this customer, pool and request.
func (t Ticket) Binds(customer, pool string, body BodyDigest) bool {
	return t.Customer == customer && t.Pool == pool && t.Body == body
}

// Remaining returns the time until the expiry; it is negative for an expired ticket.
func (t Ticket) Remaining(wall time.Time) time.Duration {
	return t.Expiry.Sub(wall)
}
