package security

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"io"
	"os"
	"strings"

	"github.com/samber/oops"
)

const (
	// MinTokenBytes is the minimum length of a token; shorter ones can be guessed.
	MinTokenBytes = 16
	// MaxTokenBytes is the maximum length of a token.
	MaxTokenBytes = 512
	// MaxTokens is the maximum number of tokens in a file.
	MaxTokens = 256
	// maxFileBytes is the maximum size of a token file.
	maxFileBytes = 256 << 10
)

// tokenAlphabet holds the characters allowed in a bearer token (RFC 6750, b64token).
const tokenAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~+/="

// ErrInvalidFile is returned for a token file that breaks a rule. The error message
// contains the line number, never the token.
var ErrInvalidFile = errors.New("security: invalid token file")

// token is one accepted bearer token. Only its hash is compared, so that the time
// of a comparison reveals nothing about its length or content.
type token struct {
	name   string
	secret string
	hash   [sha256.Size]byte
}

// tokenSet is the immutable content of a token file.
type tokenSet []token

// ParseTokens checks the content of a token file and returns the number of
// tokens in it. Errors wrap ErrInvalidFile.
func ParseTokens(text []byte) (int, error) {
	set, err := parseTokens(text)
	return len(set), err
}

func parseTokens(text []byte) (tokenSet, error) {
	if len(text) > maxFileBytes {
		return nil, oops.With("max_bytes", maxFileBytes).Wrapf(ErrInvalidFile, "file is too large")
	}
	var set tokenSet
	scanner := bufio.NewScanner(bytes.NewReader(text))
	for line := 1; scanner.Scan(); line++ {
		content := strings.TrimSpace(scanner.Text())
		if content == "" || strings.HasPrefix(content, "#") {
			continue
		}
		t, err := parseToken(content)
		if err != nil {
			return nil, oops.Wrapf(err, "line %d", line)
		}
		set = append(set, t)
	}
	if err := scanner.Err(); err != nil {
		return nil, oops.Wrapf(ErrInvalidFile, "a line is too long")
	}
	if len(set) > MaxTokens {
		return nil, oops.Wrapf(ErrInvalidFile, "%d tokens, at most %d are allowed", len(set), MaxTokens)
	}
	return set, nil
}

func parseToken(content string) (token, error) {
	name, secret, named := strings.Cut(content, ":")
	if !named {
		name, secret = "", content
	}
	name, secret = strings.TrimSpace(name), strings.TrimSpace(secret)
	if named && name == "" {
		return token{}, oops.Wrapf(ErrInvalidFile, "the name before ':' is empty")
	}
	if len(secret) < MinTokenBytes || len(secret) > MaxTokenBytes {
		return token{}, oops.Wrapf(ErrInvalidFile, "the token has %d bytes, allowed: %d to %d", len(secret), MinTokenBytes, MaxTokenBytes)
	}
	if strings.Trim(secret, tokenAlphabet) != "" {
		return token{}, oops.Wrapf(ErrInvalidFile, "the token may hold letters, digits and -._~+/= only")
	}
	return token{name: name, secret: secret, hash: sha256.Sum256([]byte(secret))}, nil
}

// find returns the name of the token with the given secret. It compares the secret
// with every token, so it takes the same time whichever matches.
func (s tokenSet) find(secret string) (string, bool) {
	hash := sha256.Sum256([]byte(secret))
	found := -1
	for i := range s {
		equal := subtle.ConstantTimeCompare(hash[:], s[i].hash[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return "", false
	}
	return s[found].name, true
}

func readTokenFile(path string) (tokenSet, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, oops.Wrapf(err, "open token file")
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, oops.Wrapf(err, "read token file")
	}
	return parseTokens(text)
}
