package entry

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"os"

	"go.yaml.in/yaml/v3"
)

// shortestToken is the least length of a token, in bytes.
const shortestToken = 16

// holder is who a bearer token belongs to.
type holder struct {
	Name  string `yaml:"name"`
	Token string `yaml:"token"`
	// Change allows more than reading.
	Change bool `yaml:"change"`
}

// tokens is the content of a token file.
type tokens struct {
	holders []holder
}

// loadTokens reads a token file: a YAML list of name, token and change.
func loadTokens(path string) (*tokens, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("token file: %w", err)
	}
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	dec.KnownFields(true)
	var t tokens
	if err := dec.Decode(&t.holders); err != nil {
		return nil, fmt.Errorf("token file %s can't be read", path) // the cause may quote a token
	}
	for k, h := range t.holders {
		if h.Name == "" || len(h.Token) < shortestToken {
			return nil, fmt.Errorf("token file %s: entry %d needs a name and a token of at least %d bytes", path, k+1, shortestToken)
		}
	}
	return &t, nil
}

// holder returns whose token was given. Every token is compared, in constant
// time.
func (t *tokens) holder(given string) (holder, bool) {
	var found holder
	ok := false
	sum := sha256.Sum256([]byte(given))
	for _, h := range t.holders {
		own := sha256.Sum256([]byte(h.Token))
		if subtle.ConstantTimeCompare(sum[:], own[:]) == 1 {
			found, ok = h, true
		}
	}
	return found, ok
}
