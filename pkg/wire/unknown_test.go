package wire

import (
	"reflect"
	"testing"
)

// Guards against messages and records of a later release that this one cannot read because
// they have a field that it does not know.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	for _, want := range []any{
		Hello{Version: 1, Node: "a"},
		Envelope{Kind: "raft", Body: []byte{1}},
		RaftEntry{Index: 7, Term: 2, Data: []byte{1}},
		Command{Time: 5, Change: &Change{ID: "c", Items: []Item{{Key: "k", Value: []byte("v")}}}},
		Delta{Version: 3, Items: []Item{{Key: "k"}}},
		Statuses{List: []Status{{ID: "u", Slots: 4}}},
		Image{Format: 1, Version: 9, Items: []Item{{Key: "k", Version: 9}}},
	} {
		t.Run(reflect.TypeOf(want).Name(), func(t *testing.T) {
			data, err := Marshal(want)
			if err != nil {
				t.Fatal(err)
			}
			var fields map[string]any
			if err := Unmarshal(data, &fields); err != nil {
				t.Fatal(err)
			}
			fields["added"] = map[string]any{"inner": []any{1, "x"}}
			if data, err = Marshal(fields); err != nil {
				t.Fatal(err)
			}
			got := reflect.New(reflect.TypeOf(want))
			if err := UnmarshalLarge(data, got.Interface()); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got.Elem().Interface(), want) {
				t.Errorf("decoded with an added field: got %+v, want %+v", got.Elem().Interface(), want)
			}
			if err := Unmarshal(data, got.Interface()); err != nil {
				t.Errorf("decoded as a message: %v", err)
			}
		})
	}
}
