package configurer

import "monsoonswitch/parser"

// Instance identifies an instance.
type Instance struct {
	// Name is unique among the running instances.
	Name string
	// Domain is the failure domain.
	Domain string
	// Share and Cores are the part of a core that the instance may use, and how many
	// times as fast as one that core is. Share is 0 if it is unknown.
	Share, Cores float64
}

// Capacity returns the processor of the instance in thousandths of a core, or 0 if it is
// unknown.
func (i Instance) Capacity() int32 { return int32(i.Share * i.Cores * millisPerCore) }

const (
	// millisPerCore is the number of units of a capacity in a core.
	millisPerCore = 1000
	// maxCores bounds the settings about the processor.
	maxCores = 1024
)

func loadInstance(s *parser.Section, all *Settings) {
	all.Instance = Instance{
		Name:   identifier(s, "name"),
		Domain: identifier(s, "domain"),
		Share:  s.NumberIn("share", 0, 0, maxCores),
		Cores:  s.NumberIn("cores", 1, 0, maxCores),
	}
}
