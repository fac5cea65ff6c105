package fabric

import (
	"encoding/json"
	"net/http"
	"net/netip"
)

// maxControlBodyBytes bounds the JSON body of a control request.
const maxControlBodyBytes = 1 << 20

// AddressBody is the JSON body that names a service address.
type AddressBody struct {
	Address netip.AddrPort `json:"address"`
}

// Handler returns the HTTP handler of the control API:
//
//	GET    /healthz            returns 200
//	GET    /state              State
//	GET    /counters           Counters
//	POST   /services           AddressBody; returns the bound address
//	POST   /instances          Instance; adds or replaces it
//	DELETE /instances/{id}     removes the instance
//	PUT    /cuts               []Cut; replaces all cuts
//	PUT    /impairment         Impairment
func (f *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.State()) })
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Counters()) })
	mux.HandleFunc("POST /services", func(w http.ResponseWriter, r *http.Request) {
		body, ok := decode[AddressBody](w, r)
		if !ok {
			return
		}
		bound, err := f.AddService(body.Address)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		writeJSON(w, AddressBody{Address: bound})
	})
	mux.HandleFunc("POST /instances", func(w http.ResponseWriter, r *http.Request) {
		in, ok := decode[Instance](w, r)
		if !ok {
			return
		}
		if err := f.SetInstance(in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("DELETE /instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		if !f.RemoveInstance(r.PathValue("id")) {
			http.Error(w, "instance is not registered", http.StatusNotFound)
		}
	})
	mux.HandleFunc("PUT /cuts", func(w http.ResponseWriter, r *http.Request) {
		if cuts, ok := decode[[]Cut](w, r); ok {
			f.SetCuts(cuts)
		}
	})
	mux.HandleFunc("PUT /impairment", func(w http.ResponseWriter, r *http.Request) {
		if im, ok := decode[Impairment](w, r); ok {
			f.SetImpairment(im)
		}
	})
	return mux
}

func decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBodyBytes)).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return v, false
	}
	return v, true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error cannot be reported to the client.
	_ = json.NewEncoder(w).Encode(v)
}
