// Package view holds what an entry instance of monsoonthread-forwarder tells operators:
// the JSON bodies of its status address, which monsoonctl reads. Times are in seconds.
package view

// Paths of the status address.
const (
	StatusPath = "/status"
	FlowPath   = "/flows/" // followed by a flow, CLIENT:PORT>SERVICE:PORT
)

// Status is an instance's view of itself, the others and the backend servers.
type Status struct {
	Instance string   `json:"instance"`
	Domain   string   `json:"failure_domain"`
	State    string   `json:"state"` // starting, ready or leaving
	Version  uint64   `json:"config_version"`
	Revision uint64   `json:"records_revision"` // of the store, up to which its records are complete
	Watching bool     `json:"watching"`         // it reads the store for its failure domain
	Age      *float64 `json:"records_age_s"`    // since the records were last known to be current; null if never
	Flows    int      `json:"flows"`
	Waiting  int      `json:"requests_under_way"`
	Members  []Member `json:"members"`
	Servers  []Server `json:"backend_servers"`
}

// Member is another instance.
type Member struct {
	Instance string   `json:"instance"`
	Domain   string   `json:"failure_domain"`
	Address  string   `json:"peer_address"`
	Alive    bool     `json:"alive"`
	Watching bool     `json:"watching"`
	Revision uint64   `json:"records_revision"`
	HeardAgo *float64 `json:"heard_ago_s"` // null if it was never heard
}

// Server is a backend server as the instance judges it.
type Server struct {
	Name        string  `json:"name"`
	Service     string  `json:"service"`
	Domain      string  `json:"failure_domain"`
	Address     string  `json:"address"`
	Cookie      uint32  `json:"cookie"`
	State       string  `json:"state"`
	Why         string  `json:"why,omitempty"`
	Usable      bool    `json:"gets_new_flows"`
	Flows       int     `json:"flows"`              // of this instance
	Waiting     int     `json:"requests_under_way"` // of this instance
	Rate        float64 `json:"requests_per_s"`     // of the failure domain
	RequestTime float64 `json:"request_time_s"`
	Utilization float64 `json:"utilization"`
	Failures    float64 `json:"failures"` // decaying number of failed requests
}

// Flow is what the instance knows of a flow.
type Flow struct {
	Instance string  `json:"instance"`
	Flow     string  `json:"flow"`
	Server   string  `json:"backend_server"`
	State    string  `json:"state"` // opening, open or closing
	Kind     string  `json:"kind"`
	Waiting  float64 `json:"request_under_way_s"` // 0 without a request
	Idle     float64 `json:"idle_s"`
}
