package configurer

import "monsoonswitch/parser"

// Instance identifies an instance.
type Instance struct {
	// Name is unique among the running instances.
	Name string
	// Domain is the failure domain.
	Domain string
}

func loadInstance(s *parser.Section, all *Settings) {
	all.Instance = Instance{
		Name:   identifier(s, "name"),
		Domain: identifier(s, "domain"),
	}
}
