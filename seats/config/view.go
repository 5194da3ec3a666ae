package config

// View is a document with lookup tables by name, for use in request handling.
type View struct {
	Document
	// Raw is the JSON encoding of the document.
	Raw           []byte
	services      map[string]*Service
	organisations map[string]*Organisation
	targets       map[string]Placed
}

// Placed is a target with the name of its service.
type Placed struct {
	Target
	Service string
}

// NewView returns the view of d.
func NewView(d Document) *View {
	v := &View{
		Document:      d,
		Raw:           d.Encode(),
		services:      make(map[string]*Service, len(d.Services)),
		organisations: make(map[string]*Organisation, len(d.Organisations)),
		targets:       make(map[string]Placed),
	}
	for i := range d.Services {
		s := &d.Services[i]
		v.services[s.Name] = s
		for _, t := range s.Targets {
			v.targets[t.Name] = Placed{Target: t, Service: s.Name}
		}
	}
	for i := range d.Organisations {
		v.organisations[d.Organisations[i].Name] = &d.Organisations[i]
	}
	return v
}

// FindService returns the service called name, or nil.
func (v *View) FindService(name string) *Service {
	return v.services[name]
}

// FindOrganisation returns the organisation called name, or nil.
func (v *View) FindOrganisation(name string) *Organisation {
	return v.organisations[name]
}

// FindTarget returns the target whose agent is called name, if there is one.
func (v *View) FindTarget(name string) (Placed, bool) {
	t, ok := v.targets[name]
	return t, ok
}

// AllTargets returns all targets by the names of their agents.
func (v *View) AllTargets() map[string]Placed {
	return v.targets
}
