package cluster

import (
	"fmt"
	"net/netip"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
	"github.com/monsoonthread/monsoonthread/questionnaire"
)

// Paths of the requests that the stand-ins know, below the name of the service.
const (
	UrgentPath  = "urgent"  // GET, idempotent, urgent
	OrderPath   = "order"   // POST, not idempotent, urgent
	NormalPath  = "item"    // GET, idempotent, normal
	ProbePath   = "probe"   // GET, idempotent, normal, of fixed duration
	BulkPath    = "bulk"    // GET, idempotent, bulk
	WatchPath   = "watch"   // GET with Observe
	ArchivePath = "archive" // GET with Block2, bulk
)

// Path returns the path of a request of a service.
func Path(service, kind string) string { return "/" + service + "/" + kind }

// InstanceSpec describes one entry instance.
type InstanceSpec struct {
	ID     string
	Domain string
	Weight uint32
}

// Workload holds the settings of the backend servers that apply to all of them.
type Workload struct {
	MeanWorkMS   float64
	Sigma        float64
	BlockWorkMS  float64
	TickMS       int
	ArchiveBytes int
	ColdStartMS  int
	// EqualSpeed makes all servers of the reference speed.
	EqualSpeed bool
}

// Deployment describes what a Cluster starts.
type Deployment struct {
	Name      string
	Answers   *questionnaire.Answers
	Instances []InstanceSpec
	Workload  Workload
	Seed      uint64
}

// instanceWeights are the sizes of the entry instances: most are of the reference size,
// some of half and some of double.
var instanceWeights = []uint32{100, 200, 100, 50, 100, 200, 100, 50, 100}

// instanceCount is the number of entry instances of both users.
const instanceCount = 9

// weightOfSpeedOne is the configured weight of a backend server of speed 1.
const weightOfSpeedOne = 100

// NewDeployment returns one of the deployments of the questionnaire's templates, with
// the request paths of the stand-ins. Addresses are filled in when it starts.
func NewDeployment(name string, seed uint64, w Workload) (*Deployment, error) {
	text := questionnaire.Template(name)
	if text == nil {
		return nil, fmt.Errorf("deployment %q does not exist; known are %v", name, questionnaire.Templates)
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
				s.BackendServers[j].Weight = weightOfSpeedOne
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

// Service returns a service by name.
func (d *Deployment) Service(name string) (*config.Service, bool) {
	for i := range d.Answers.Services {
		if d.Answers.Services[i].Name == name {
			return &d.Answers.Services[i], true
		}
	}
	return nil, false
}

// Capacity returns the requests per second that the servers of a service complete when
// all slots are busy.
func (d *Deployment) Capacity(service string) float64 {
	s, ok := d.Service(service)
	if !ok {
		return 0
	}
	sum := 0.0
	for _, b := range s.BackendServers {
		sum += float64(b.Slots) * float64(b.Weight) / weightOfSpeedOne
	}
	return sum * 1000 / d.Workload.MeanWorkMS
}

// specs returns the stand-ins of the backend servers of a domain, at free ports.
func (d *Deployment) specs(domain string) []backendserver.Spec {
	var all []backendserver.Spec
	for _, s := range d.Answers.Services {
		for i, b := range s.BackendServers {
			if b.Domain == domain {
				spec := d.spec(s.Name, b)
				spec.Seed = d.Seed + uint64(i)
				all = append(all, spec)
			}
		}
	}
	return all
}

func (d *Deployment) spec(service string, b config.BackendServer) backendserver.Spec {
	w := d.Workload
	return backendserver.Spec{
		Name: b.Name, Service: service, Domain: b.Domain, Address: netip.MustParseAddrPort("127.0.0.1:0"),
		Slots: b.Slots, Connections: b.Connections, Speed: float64(b.Weight) / weightOfSpeedOne,
		MeanWorkMS: w.MeanWorkMS, Sigma: w.Sigma, BlockWorkMS: w.BlockWorkMS, TickMS: w.TickMS,
		ArchiveSeed: d.Seed, ArchiveBytes: w.ArchiveBytes,
	}
}
