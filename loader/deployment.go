package loader

import (
	"time"

	"monsoonswitch/assembler"
	"monsoonswitch/declarer"
	"monsoonswitch/imitator"
)

// deployment describes the failure domains, services and backend servers that a
// scenario runs with.
type deployment struct {
	domains  []string
	services []declarer.Service
	// sizes holds the number of backend servers by service.
	sizes map[string]int
	// slots is the number of slots of each backend server.
	slots int
}

// Properties of the backend server stand-ins.
const (
	medianServiceTime = 20 * time.Millisecond
	// serviceTimeSpread is the standard deviation of the logarithm of the service time.
	serviceTimeSpread = 0.5
	// crashDownTime is how long a backend server is down after a crash.
	crashDownTime = 700 * time.Millisecond
)

func deploymentOf(name string) (deployment, error) {
	services, err := declarations(name)
	if err != nil {
		return deployment{}, err
	}
	if name == "kilimo" {
		return deployment{
			domains:  []string{"arusha-1", "arusha-2", "moshi-1", "moshi-2"},
			services: services,
			sizes:    map[string]int{"ratiba": 8, "malipo": 16, "kliniki": 8},
			slots:    6,
		}, nil
	}
	return deployment{
		domains:  []string{"worcester", "providence", "portsmouth"},
		services: services,
		sizes:    map[string]int{"ledger": 11, "billing": 21, "fieldbook": 6},
		slots:    3,
	}, nil
}

func (d deployment) service(name string) (declarer.Service, bool) {
	for _, s := range d.services {
		if s.Name == name {
			return s, true
		}
	}
	return declarer.Service{}, false
}

// groups returns the backend servers to start for each service. Every service
// gets its own range of seeds, derived from seed.
func (d deployment) groups(seed uint64) []assembler.Group {
	var result []assembler.Group
	for _, s := range d.services {
		result = append(result, assembler.Group{
			Service: s.Name,
			Count:   d.sizes[s.Name],
			Options: imitator.BackendOptions{
				Slots:   d.slots,
				Backlog: 1,
				Median:  medianServiceTime,
				Spread:  serviceTimeSpread,
				Down:    crashDownTime,
				Seed:    seed + uint64(len(result))*1000,
			},
		})
	}
	return result
}
