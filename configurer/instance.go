package configurer

// Instance says which instance this is.
type Instance struct {
	// Name is unique among the instances that live at one time.
	Name string
	// Domain is the failure domain.
	Domain string
}

func loadInstance(s *section, all *Settings) {
	all.Instance = Instance{
		Name:   s.identifier("name"),
		Domain: s.identifier("domain"),
	}
}
