package crashguard

import "github.com/cespare/xxhash/v2"

// DigestOf returns the digest of a request. It hashes the path if the body is empty: a single digest for all requests
// without a body would attribute the crash caused by one of them to the customer's harmless ones.
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
