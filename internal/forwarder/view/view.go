// Package view defines the JSON bodies that monsoonthread-forwarder serves on its status
// address and that monsoonctl reads. Times are in seconds.
package view

// URL paths on the status address.
const (
	StatusPath = "/status"
	FlowPath   = "/flows/" // followed by a flow, CLIENT:PORT>SERVICE:PORT
)

// Status is an instance's view of itself, of the other instances and of the backend servers.
type Status struct {
	Instance        string   `json:"instance"`
	Domain          string   `json:"failure_domain"`
	State           string   `json:"state"` // starting, ready or leaving
	Version         uint64   `json:"config_version"`
	Era             uint64   `json:"records_era"`      // number of times that the store was restored from an older copy, as far as the records show
	Revision        uint64   `json:"records_revision"` // store revision of that era up to which the records are complete
	Watching        bool     `json:"watching"`         // reads the store on behalf of its failure domain
	RecordsAge      *float64 `json:"records_age_s"`    // time since the records were last known to be current; null if never
	Flows           int      `json:"flows"`
	PendingRequests int      `json:"requests_under_way"`
	ColdServers     int      `json:"cold_backend_servers"`
	FullServers     int      `json:"full_backend_servers"`
	KeptFromCold    uint64   `json:"opening_packets_kept_from_cold_servers"`
	Members         []Member `json:"members"`
	Servers         []Server `json:"backend_servers"`
	// Admissions is empty unless the configuration gives routes a priority.
	Admissions []Admission `json:"admission,omitempty"`
	// Evacuations are the failure domains under evacuation and those whose evacuation ended within
	// the last ten minutes.
	Evacuations []Evacuation `json:"evacuations"`
}

// Evacuation is the evacuation of a failure domain as the instance knows it.
type Evacuation struct {
	Domain   string  `json:"failure_domain"`
	Active   bool    `json:"active"`
	For      float64 `json:"active_for_s"`   // if active
	EndedAgo float64 `json:"ended_ago_s"`    // if not active
	Held     float64 `json:"end_held_for_s"` // remaining time for which an end is held back that only a restored store implies
}

// Member is another instance as seen by this one.
type Member struct {
	Instance string   `json:"instance"`
	Domain   string   `json:"failure_domain"`
	Address  string   `json:"peer_address"`
	Alive    bool     `json:"alive"`
	Watching bool     `json:"watching"`
	Era      uint64   `json:"records_era"`
	Revision uint64   `json:"records_revision"`
	HeardAgo *float64 `json:"heard_ago_s"` // time since its last message; null if there was none
}

// Server is a backend server as seen by the instance.
type Server struct {
	Name            string  `json:"name"`
	Service         string  `json:"service"`
	Domain          string  `json:"failure_domain"`
	Address         string  `json:"address"`
	Cookie          uint32  `json:"cookie"`
	State           string  `json:"state"`
	StateReason     string  `json:"why,omitempty"`
	GetsNewFlows    bool    `json:"gets_new_flows"`
	Flows           int     `json:"flows"`              // through this instance
	PendingRequests int     `json:"requests_under_way"` // through this instance
	Rate            float64 `json:"requests_per_s"`     // from the whole failure domain
	RequestTime     float64 `json:"request_time_s"`     // without queueing
	ResponseTime    float64 `json:"response_time_s"`    // with queueing
	Speed           float64 `json:"relative_speed"`     // 1 is the mean of the service
	Samples         float64 `json:"speed_samples"`      // decaying number of measured answers that the speed rests on
	Utilization     float64 `json:"utilization"`
	Failures        float64 `json:"failures"`                  // number of failed requests, decaying over time
	ColdLeft        float64 `json:"cold_left_s,omitempty"`     // for which its opening packets are limited
	OwnsColdStart   bool    `json:"owns_cold_start,omitempty"` // this instance sends the opening packets of the cold server
	KnownFlows      int     `json:"known_flows"`               // of all instances, as far as this one knows
	MaxFlows        int     `json:"max_flows,omitempty"`       // that the server accepts; 0 for no limit
}

// Flow is the state of a flow at the instance.
type Flow struct {
	Instance    string  `json:"instance"`
	Flow        string  `json:"flow"`
	Server      string  `json:"backend_server"`
	State       string  `json:"state"` // opening, open or closing
	Kind        string  `json:"kind"`
	RequestTime float64 `json:"request_under_way_s"` // 0 if no request is pending
	Idle        float64 `json:"idle_s"`
}

// Admission is the state of admission control for the flows of a class to a service.
type Admission struct {
	Service     string  `json:"service"`
	Priority    int     `json:"priority"`
	Kind        string  `json:"kind"`
	Objective   float64 `json:"objective_s"`
	Timeout     float64 `json:"timeout_s"`
	Limiting    bool    `json:"limiting"`    // the service is short of capacity, and limits apply
	Evidence    float64 `json:"evidence"`    // share of the recent requests that were shed, late or overdue
	Utilization float64 `json:"utilization"` // at the last new flow, by classes that are at least as urgent
	Limit       float64 `json:"limit"`       // of that utilization
	Share       float64 `json:"share"`       // share of the load, by this instance's flows
	ServiceTime float64 `json:"service_time_s"`
	Admitted    uint64  `json:"admitted"`
	Overloaded  uint64  `json:"refused_overloaded"`
	Unmet       uint64  `json:"refused_deadline_unmet"`
}
