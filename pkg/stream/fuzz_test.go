package stream

import "testing"

// FuzzParseRequest guards against request bodies that make the node panic.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3,"stream":true}`))
	f.Add([]byte(`{"model":"m","prompt":["a","b"],"n":2}`))
	f.Add([]byte(`{"model":1,"messages":{}}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(_ *testing.T, body []byte) {
		for _, kind := range []Kind{Chat, Text} {
			r, err := ParseRequest(kind, body)
			if err != nil {
				continue
			}
			t := NewTranscript(r, "id")
			_, _ = t.StartAttempt("a.1", Options{})
		}
	})
}
