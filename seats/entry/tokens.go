package entry

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"os"

	"go.yaml.in/yaml/v3"
)

const minTokenBytes = 16

// holder is the holder of a bearer token.
type holder struct {
	Name  string `yaml:"name"`
	Token string `yaml:"token"`
	// Change permits calls that change the configuration.
	Change bool `yaml:"change"`
}

// tokens is the content of a token file.
type tokens struct {
	holders []holder
}

// loadTokens reads a token file, a YAML list of holders.
func loadTokens(path string) (*tokens, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read token file: %w", err)
	}
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	dec.KnownFields(true)
	var t tokens
	if err := dec.Decode(&t.holders); err != nil {
		return nil, fmt.Errorf("token file %s is not a valid YAML list of name, token and change", path) // the error may quote a token
	}
	for k, h := range t.holders {
		if h.Name == "" || len(h.Token) < minTokenBytes {
			return nil, fmt.Errorf("token file %s: entry %d needs a name and a token of at least %d bytes", path, k+1, minTokenBytes)
		}
	}
	return &t, nil
}

// find returns the holder of the given token. It compares all tokens, each in
// constant time.
func (t *tokens) find(given string) (holder, bool) {
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
