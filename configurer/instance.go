package configurer

import "monsoonswitch/parser"

// Instance says which instance this is.
type Instance struct {
	// Name is unique among the instances that live at one time.
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
