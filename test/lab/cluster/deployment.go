package cluster

import (
	"fmt"
	"net/netip"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
	"github.com/monsoonthread/monsoonthread/questionnaire"
)

// Request kinds of the stand-in backend servers; see Path.
const (
	UrgentPath  = "urgent"  // GET, idempotent, urgent
	OrderPath   = "order"   // POST, not idempotent, urgent
	NormalPath  = "item"    // GET, idempotent, normal
	ProbePath   = "probe"   // GET, idempotent, normal, with a fixed work time
	BulkPath    = "bulk"    // GET, idempotent, bulk
	WatchPath   = "watch"   // GET with Observe
	ArchivePath = "archive" // GET with Block2, bulk
)

// Path returns the request path for a request kind of a service.
func Path(service, kind string) string { return "/" + service + "/" + kind }

// InstanceSpec describes an entry instance.
type InstanceSpec struct {
	ID     string
	Domain string
	Weight uint32
}

// Workload holds the settings that all backend servers share.
type Workload struct {
	MeanWorkMS   float64 // mean duration of a request at speed 1
	Sigma        float64 // of the log-normal distribution of durations
	BlockWorkMS  float64 // mean duration of serving one archive block at speed 1
	TickMS       int     // interval between the notifications on each stream
	ArchiveBytes int
	ColdStartMS  int // warm-up time in the configuration
	// EqualSpeed sets all servers to speed 1.
	EqualSpeed bool
}

// Deployment describes the services, backend servers and instances that a Cluster starts.
type Deployment struct {
	Name      string
	Answers   *questionnaire.Answers
	Instances []InstanceSpec
	Workload  Workload
	Seed      uint64
}

// instanceWeights are the weights of the entry instances: most have the reference weight
// of 100, some half and some twice as much.
var instanceWeights = []uint32{100, 200, 100, 50, 100, 200, 100, 50, 100}

// instanceCount is the number of entry instances of each deployment template.
const instanceCount = 9

// unitSpeedWeight is the configured weight of a backend server of speed 1.
const unitSpeedWeight = 100

// NewDeployment returns the deployment of a questionnaire template, with the routes of the
// stand-in backend servers. Cluster fills in the addresses at start.
func NewDeployment(name string, seed uint64, w Workload) (*Deployment, error) {
	text := questionnaire.Template(name)
	if text == nil {
		return nil, fmt.Errorf("unknown deployment %q; known deployments: %v", name, questionnaire.Templates)
	}
	a, err := questionnaire.Parse(text)
	if err != nil {
		return nil, err
	}
	d := &Deployment{Name: name, Answers: a, Workload: w, Seed: seed}
	for i := range a.Services {
		s := &a.Services[i]
		s.Routes = routes(s.Name)
		for j := range s.BackendServers {
			if w.EqualSpeed {
				s.BackendServers[j].Weight = unitSpeedWeight
			}
			s.BackendServers[j].WarmUp = config.Milliseconds(w.ColdStartMS)
		}
	}
	for i := range instanceCount {
		domain := a.Domains[i%len(a.Domains)].Name
		d.Instances = append(d.Instances, InstanceSpec{
			ID: fmt.Sprintf("%s-%d", domain, i/len(a.Domains)+1), Domain: domain, Weight: instanceWeights[i%len(instanceWeights)],
		})
	}
	return d, nil
}

func routes(service string) []config.Route {
	return []config.Route{
		{Method: "GET", PathPrefix: Path(service, UrgentPath), Class: config.Urgent, Idempotent: true},
		{Method: "POST", PathPrefix: Path(service, OrderPath), Class: config.Urgent},
		{Method: "GET", PathPrefix: Path(service, NormalPath), Class: config.Normal, Idempotent: true},
		{Method: "GET", PathPrefix: Path(service, ProbePath), Class: config.Normal, Idempotent: true},
		{Method: "GET", PathPrefix: Path(service, BulkPath), Class: config.Bulk, Idempotent: true},
		{Method: "GET", PathPrefix: Path(service, ArchivePath), Class: config.Bulk, Idempotent: true},
		{Method: "GET", PathPrefix: Path(service, WatchPath), Class: config.Urgent, Idempotent: true, Stream: true},
	}
}

// Service returns the service with the given name.
func (d *Deployment) Service(name string) (*config.Service, bool) {
	for i := range d.Answers.Services {
		if d.Answers.Services[i].Name == name {
			return &d.Answers.Services[i], true
		}
	}
	return nil, false
}

// Capacity returns the requests per second that the servers of a service complete with all
// slots busy.
func (d *Deployment) Capacity(service string) float64 {
	s, ok := d.Service(service)
	if !ok {
		return 0
	}
	sum := 0.0
	for _, b := range s.BackendServers {
		sum += float64(b.Slots) * float64(b.Weight) / unitSpeedWeight
	}
	return sum * 1000 / d.Workload.MeanWorkMS
}

// serverSpecs returns the specs of the stand-ins for the backend servers of a domain. Port
// 0 lets each bind a free port.
func (d *Deployment) serverSpecs(domain string) []backendserver.Spec {
	var all []backendserver.Spec
	for _, s := range d.Answers.Services {
		for i, b := range s.BackendServers {
			if b.Domain == domain {
				spec := d.serverSpec(s.Name, b)
				spec.Seed = d.Seed + uint64(i)
				all = append(all, spec)
			}
		}
	}
	return all
}

func (d *Deployment) serverSpec(service string, b config.BackendServer) backendserver.Spec {
	w := d.Workload
	return backendserver.Spec{
		Name: b.Name, Service: service, Domain: b.Domain, Address: netip.MustParseAddrPort("127.0.0.1:0"),
		Slots: b.Slots, Connections: b.Connections, Speed: float64(b.Weight) / unitSpeedWeight,
		MeanWorkMS: w.MeanWorkMS, Sigma: w.Sigma, BlockWorkMS: w.BlockWorkMS, TickMS: w.TickMS,
		ArchiveSeed: d.Seed, ArchiveBytes: w.ArchiveBytes,
	}
}
