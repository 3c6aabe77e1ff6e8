package bounded

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// Guards against a body that is changed, or taken as whole although its connection broke.
func TestReadAllReturnsWholeBodies(t *testing.T) {
	for _, size := range []int{0, 1, firstPartBytes, firstPartBytes + 1, firstPartBytes + 3*partBytes, 1 << 20} {
		want := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		for name, r := range map[string]io.Reader{
			"at once": bytes.NewReader(want), "byte by byte": iotest.OneByteReader(bytes.NewReader(want)), "end with data": iotest.DataErrReader(bytes.NewReader(want)),
		} {
			if got, err := ReadAll(r, nil); err != nil || !bytes.Equal(got, want) {
				t.Errorf("%s, %d bytes: got %d, %v, want them unchanged", name, size, len(got), err)
			}
		}
		broken := io.MultiReader(bytes.NewReader(want), iotest.ErrReader(io.ErrUnexpectedEOF))
		if got, err := ReadAll(broken, nil); !errors.Is(err, io.ErrUnexpectedEOF) || got != nil {
			t.Errorf("broken after %d bytes: got %d bytes, %v, want the error", size, len(got), err)
		}
	}
}

// Guards against bodies that are each within their limit and together take all memory.
func TestReadAllEndsOverBudget(t *testing.T) {
	b := NewBudget(1 << 20)
	var ends int
	account := b.Open(func() { ends++ })
	endless := iotest.OneByteReader(io.MultiReader(bytes.NewReader(make([]byte, 2<<20))))
	if _, err := ReadAll(endless, account); !errors.Is(err, ErrOverBudget) {
		t.Errorf("body beyond the budget: got %v, want %v", err, ErrOverBudget)
	}
	if account.Close() {
		t.Error("account of the body: got not given up, want given up")
	}
	if got := b.Held(); got != 0 {
		t.Errorf("held after the end: got %d bytes, want none", got)
	}
}
