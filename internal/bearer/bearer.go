// Package bearer checks bearer tokens against stored SHA-256 hashes.
package bearer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

const scheme = "Bearer "

// Tokens maps the name of each token's holder to the hash of the token, as Hash
// returns it.
type Tokens map[string]string

// Hash returns the hexadecimal SHA-256 hash of a token, the form in which tokens are
// stored.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// FromRequest returns the hash of the request's bearer token.
func FromRequest(r *http.Request) (hash string, ok bool) {
	value := r.Header.Get("Authorization")
	if len(value) <= len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return "", false
	}
	return Hash(value[len(scheme):]), true
}

// Holder returns the name of the holder of the request's token. It compares the token
// with every stored hash in constant time, so that its duration reveals nothing about
// the hashes.
func (t Tokens) Holder(r *http.Request) (name string, ok bool) {
	hash, ok := FromRequest(r)
	if !ok {
		return "", false
	}
	matched := 0
	for holder, stored := range t {
		equal := subtle.ConstantTimeCompare([]byte(hash), []byte(stored))
		if equal == 1 {
			name = holder
		}
		matched |= equal
	}
	return name, matched == 1
}
