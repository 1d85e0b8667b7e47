package declarer

import (
	"net/http"
	"strings"
)

// Check returns an ErrInvalid error for the first rule that s violates. The error
// names file as the source.
func (s Service) Check(file string) error {
	p := location{file, "service", "name"}
	if !namePattern.MatchString(s.Name) {
		return p.errorf("%q is not a valid name: must be 1 to 63 lower-case letters, digits and dashes, beginning with a letter", s.Name)
	}
	if len(s.Classes) == 0 || len(s.Classes) > MaxClasses {
		return location{file, "class", "-"}.errorf("a service must have 1 to %d classes, not %d", MaxClasses, len(s.Classes))
	}
	if len(s.Routes) > MaxRoutes {
		return location{file, "route", "-"}.errorf("a service must have at most %d routes, not %d", MaxRoutes, len(s.Routes))
	}
	if len(s.Routes) == 0 && s.State == Open {
		return location{file, "route", "-"}.errorf("an open service must have at least one route")
	}
	if err := s.checkClasses(file); err != nil {
		return err
	}
	return s.checkRoutes(file)
}

func (s Service) checkClasses(file string) error {
	seen := make(map[string]bool, len(s.Classes))
	for _, c := range s.Classes {
		section := "class " + c.Name
		if !namePattern.MatchString(c.Name) || seen[c.Name] {
			return location{file, section, "-"}.errorf("%q is not a valid name or is declared twice", c.Name)
		}
		seen[c.Name] = true
		if c.Target <= 0 || c.Target > MaxTarget {
			return location{file, section, "target"}.errorf("%v is out of range: must be more than 0 and at most %v", c.Target, MaxTarget)
		}
		if c.Idempotent && c.Keyless {
			return location{file, section, "keyless"}.errorf("must not be set for idempotent work, which has no idempotency keys")
		}
	}
	return nil
}

func (s Service) checkRoutes(file string) error {
	seen := make(map[string]bool, len(s.Routes))
	for _, r := range s.Routes {
		section := "route " + r.Name
		if r.Name == "" || seen[r.Name] {
			return location{file, section, "-"}.errorf("name %q is empty or is declared twice", r.Name)
		}
		seen[r.Name] = true
		if !strings.HasPrefix(r.Path, "/") {
			return location{file, section, "path"}.errorf("%q does not begin with a slash", r.Path)
		}
		if strings.HasPrefix(r.Path, "/-/") {
			return location{file, section, "path"}.errorf("/-/ is reserved for the instances")
		}
		c, ok := s.Class(r.Class)
		if !ok {
			return location{file, section, "class"}.errorf("class %q is not declared", r.Class)
		}
		if err := r.checkMethods(file, section, c); err != nil {
			return err
		}
	}
	return nil
}

// checkMethods rejects safe methods for non-idempotent work, because HTTP libraries
// between the caller and the backend server may retry requests with these methods
// on their own.
func (r Route) checkMethods(file, section string, c Class) error {
	p := location{file, section, "method"}
	if c.Idempotent {
		return nil
	}
	if len(r.Methods) == 0 {
		return p.errorf("a route for non-idempotent work must list its methods")
	}
	for _, m := range r.Methods {
		switch m {
		case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
			return p.errorf("%s is not allowed for non-idempotent work", m)
		}
	}
	return nil
}
