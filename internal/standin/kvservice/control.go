package kvservice

import (
	"encoding/json"
	"net/http"
)

// Handler returns the HTTP handler of the service and its control API:
//
//	GET, PUT /v1/kv/{key}        see docs/design.md, section 4.5
//	GET      /healthz            returns 200, also in an outage
//	GET      /control/counters   Counters
//	GET, PUT /control/faults     Faults
//	PUT      /control/copy       keeps a copy of the contents
//	PUT      /control/restore    restores the last copy
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.get)
	mux.HandleFunc("PUT /v1/kv/{key...}", s.put)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counters()) })
	mux.HandleFunc("GET /control/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	mux.HandleFunc("PUT /control/copy", func(http.ResponseWriter, *http.Request) { s.Copy() })
	mux.HandleFunc("PUT /control/restore", func(http.ResponseWriter, *http.Request) { s.Restore() })
	mux.HandleFunc("PUT /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a write error cannot be reported to the client
}
