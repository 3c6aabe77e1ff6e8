package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// maxKVBytes is the maximum size of the reply with the parameters of a KV transfer.
const maxKVBytes = 64 << 10

// ExportKV asks a model engine to export the KV cache of a request that it is running.
// It returns the kv_transfer_params with which another engine imports the cache.
func (t *Transport) ExportKV(ctx context.Context, address, requestID string) (json.RawMessage, error) {
	body, err := json.Marshal(struct {
		ID string `json:"request_id"`
	}{requestID})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/kv/export", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := t.Do(req, false)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.New("the upstream answered " + resp.Status)
	}
	var reply struct {
		Params json.RawMessage `json:"kv_transfer_params"`
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxKVBytes)).Decode(&reply)
	return reply.Params, err
}
