// Package once runs non-idempotent requests at most once. It owns the claims of
// request keys, which are written to the platform's store before a request is
// dispatched, so that a request runs at most once whichever hosts its repeats
// reach. The encoding of records, the store, the choice of replicas and the
// connections to their owners are left to other packages.
package once

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"hyssophub/shard"
)

// MaxKeyBytes is the largest length of a request key, in bytes.
const MaxKeyBytes = 128

// keyPrefix is the prefix of all request keys in the store.
const keyPrefix = "once/"

// Request is a caller's non-idempotent request.
type Request struct {
	ID      string
	Tenant  string
	Service string
	// Key identifies the request and all its repeats.
	Key      string
	Text     string
	Class    shard.Class
	Deadline time.Time
}

// Result describes the run of a request.
type Result struct {
	Request string
	// Receipt is the backend server's receipt for the run.
	Receipt string
	// Repeat is true if the run belongs to an earlier request with the same key.
	Repeat bool
	Took   time.Duration
	// StoreCalls counts the store calls of the request until its result is
	// published, and Subrequests its sub-requests.
	StoreCalls  int
	Subrequests int
}

// ValidKey reports whether a request key has 1 to MaxKeyBytes letters, digits
// or characters out of "._:-", and is neither "." nor "..". Other characters
// would need escaping in the paths of the store.
func ValidKey(key string) bool {
	if key == "" || len(key) > MaxKeyBytes || key == "." || key == ".." {
		return false
	}
	return strings.IndexFunc(key, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("._:-", r)
	}) < 0
}

// storeKey returns the key of a request in the store.
func storeKey(r Request) string { return keyPrefix + r.Tenant + "/" + r.Key }

// digest returns a hash of the service and text of a request. Deadline and
// class are left out, since they may differ between repeats.
func digest(r Request) string {
	hash := sha256.New()
	for _, field := range []string{r.Service, r.Text} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = hash.Write(size[:])
		_, _ = hash.Write([]byte(field))
	}
	return hex.EncodeToString(hash.Sum(nil))
}
