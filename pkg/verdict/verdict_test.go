package verdict

import (
	"errors"
	"fmt"
	"testing"
)

func TestOf(t *testing.T) {
	refused := &Error{Verdict: NotRun, Code: CodeOverloaded, Status: 503}
	tests := []struct {
		name string
		err  error
		want Verdict
	}{
		{"an error without a verdict is never safe to retry", errors.New("connection reset"), MayHaveRun},
		{"wrapping keeps the verdict", fmt.Errorf("send: %w", refused), NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := Of(tt.err); got != tt.want {
				t.Errorf("Of(%v): got %v, want %v", tt.err, got, tt.want)
			}
			if got := From(tt.err).Verdict; got != tt.want {
				t.Errorf("From(%v).Verdict: got %v, want %v", tt.err, got, tt.want)
			}
		})
	}
}
