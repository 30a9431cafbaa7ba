package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"os"
	"strings"

	"github.com/samber/oops"
)

// minToken is the shortest token in bytes, so that tokens cannot be guessed.
const minToken = 16

// Tokens holds the bearer token of each office.
type Tokens struct {
	offices []office
}

type office struct {
	name   string
	digest [sha256.Size]byte
}

// ReadTokens reads a JSON file that maps office names to tokens. The error
// names the file but no token.
func ReadTokens(path string) (Tokens, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Tokens{}, oops.Wrapf(err, "tokens")
	}
	tokens, err := DecodeTokens(data)
	return tokens, oops.Wrapf(err, "tokens %s", path)
}

// DecodeTokens reads the offices' tokens from JSON.
func DecodeTokens(data []byte) (Tokens, error) {
	var byOffice map[string]string
	if err := json.Unmarshal(data, &byOffice); err != nil {
		return Tokens{}, oops.Errorf("a JSON object of office names to tokens is wanted")
	}
	var tokens Tokens
	owners := make(map[string]string, len(byOffice))
	for name, token := range byOffice {
		if name == "" || len(token) < minToken {
			return Tokens{}, oops.Errorf("office %q: a name and a token of at least %d bytes are wanted", name, minToken)
		}
		if other, ok := owners[token]; ok {
			return Tokens{}, oops.Errorf("offices %q and %q have the same token", name, other)
		}
		owners[token] = name
		tokens.offices = append(tokens.offices, office{name: name, digest: sha256.Sum256([]byte(token))})
	}
	return tokens, nil
}

// Office returns the office whose token a request carries. Each comparison
// takes constant time and all offices are compared, so that the time tells
// nothing about a token.
func (t Tokens) Office(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(token))
	name, found := "", false
	for _, o := range t.offices {
		if subtle.ConstantTimeCompare(o.digest[:], digest[:]) == 1 {
			name, found = o.name, true
		}
	}
	return name, ok && found
}
