package crashguard

import "github.com/cespare/xxhash/v2"

// DigestOf returns the digest of a request. The path stands in for an empty body, since one digest for all calls
// without a body would charge a customer's harmless calls with the crash of another.
func DigestOf(customer, path string, body []byte) Digest {
	hash := xxhash.New()
	_, _ = hash.WriteString(customer)
	_, _ = hash.Write([]byte{0})
	if len(body) == 0 {
		_, _ = hash.WriteString(path)
	}
	_, _ = hash.Write(body)
	return Digest(hash.Sum64())
}
