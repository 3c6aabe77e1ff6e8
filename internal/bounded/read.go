package bounded

import (
	"bytes"
	"io"
)

// firstPartBytes holds the whole body of most calls.
const firstPartBytes, partBytes = 4 << 10, 64 << 10

// ReadAll reads until EOF like io.ReadAll and counts the bytes in an account, BodyFactor for
// each, which stay counted until the account is closed. It returns ErrOverBudget once the
// account was given up. Unlike io.ReadAll it does not copy what it has read before an error,
// since there may be little memory then.
func ReadAll(r io.Reader, a *Account) ([]byte, error) {
	var parts [][]byte
	part := make([]byte, 0, firstPartBytes)
	for {
		n, err := r.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		if addErr := a.Add(n * BodyFactor); addErr != nil {
			return nil, addErr
		}
		switch {
		case err == io.EOF:
			return bytes.Join(append(parts, part), nil), nil
		case err != nil:
			return nil, err
		case len(part) == cap(part):
			parts, part = append(parts, part), make([]byte, 0, partBytes)
		}
	}
}
