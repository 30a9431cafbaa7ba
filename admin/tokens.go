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

// minTokenBytes is the smallest length of a token. Shorter tokens could be guessed.
const minTokenBytes = 16

// Tokens holds the digest of each office's bearer token.
type Tokens struct {
	offices []office
}

type office struct {
	name   string
	digest [sha256.Size]byte
}

// ReadTokens reads a JSON file that maps office names to tokens. Its errors
// contain the path of the file but no token.
func ReadTokens(path string) (Tokens, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Tokens{}, oops.Wrapf(err, "tokens")
	}
	tokens, err := DecodeTokens(data)
	return tokens, oops.Wrapf(err, "decode token file %s", path)
}

// DecodeTokens decodes a JSON object that maps office names to tokens. Its errors
// contain no token.
func DecodeTokens(data []byte) (Tokens, error) {
	var byOffice map[string]string
	if err := json.Unmarshal(data, &byOffice); err != nil {
		return Tokens{}, oops.Errorf("not a JSON object that maps office names to tokens")
	}
	var tokens Tokens
	officeOfToken := make(map[string]string, len(byOffice))
	for name, token := range byOffice {
		if name == "" || len(token) < minTokenBytes {
			return Tokens{}, oops.Errorf("office %q: the name must not be empty and the token must have at least %d bytes", name, minTokenBytes)
		}
		if other, ok := officeOfToken[token]; ok {
			return Tokens{}, oops.Errorf("offices %q and %q have the same token", name, other)
		}
		officeOfToken[token] = name
		tokens.offices = append(tokens.offices, office{name: name, digest: sha256.Sum256([]byte(token))})
	}
	return tokens, nil
}

// Office returns the name of the office whose bearer token is in the request's
// Authorization header. Each comparison takes constant time and every office is
// compared, so that the response time reveals nothing about a token.
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
