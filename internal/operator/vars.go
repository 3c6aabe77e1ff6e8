package operator

import (
	"encoding/json"
	"expvar"
	"fmt"
	"maps"
	"net/http"
	"slices"
)

// showVars writes the global expvar variables of the process together with those of
// the node. The node's variables are not published globally, so that one process can
// run several nodes.
func (s *Server) showVars(w http.ResponseWriter, _ *http.Request) {
	all := make(map[string]json.RawMessage)
	add := func(name string, v expvar.Var) {
		if text := v.String(); json.Valid([]byte(text)) {
			all[name] = json.RawMessage(text)
		}
	}
	expvar.Do(func(kv expvar.KeyValue) { add(kv.Key, kv.Value) })
	for name, v := range s.Vars {
		add(name, v)
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprint(w, "{\n")
	for i, name := range slices.Sorted(maps.Keys(all)) {
		if i > 0 {
			_, _ = fmt.Fprint(w, ",\n")
		}
		_, _ = fmt.Fprintf(w, "%q: %s", name, all[name])
	}
	_, _ = fmt.Fprint(w, "\n}\n")
}
