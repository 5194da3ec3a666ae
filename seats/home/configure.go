package home

import (
	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// Configure puts a configuration from the store in force, if its revision is
// higher. Until the first one, which may be empty, the home is not settled.
func (h *Home) Configure(now clock.Moment, d config.Document) Effects {
	h.now = now
	h.configured = true
	h.configure(d)
	h.settle()
	return h.drain()
}

// adoptConfig takes the configuration that another seat handed over.
func (h *Home) adoptConfig(raw []byte) {
	d, err := config.Decode(raw)
	if err != nil {
		return
	}
	h.configure(d)
}

func (h *Home) configure(d config.Document) {
	if d.Revision <= h.config.Revision {
		return
	}
	before := h.longestExpiry()
	h.longer, h.longerUntil = before, h.now.Mono+before+h.cfg.Skew
	h.config = config.NewView(d)
	h.out.Configured = true
	h.countHomes()
	for _, l := range h.ordered {
		h.inform(l)
	}
}

// configFor returns the part of the configuration that l needs.
func (h *Home) configFor(l *link) wire.Message {
	if l.role == wire.RoleEntry {
		return wire.Config{Document: h.config.Raw}
	}
	t, ok := h.config.FindTarget(l.id.Name)
	return wire.Target{
		Known:       ok,
		Service:     t.Service,
		Slots:       t.Slots,
		Connections: t.Connections,
		Drained:     t.Drained,
	}
}

// HostsLeaving takes the host list's word for which hosts are leaving, by
// name; an agent's host has the agent's name.
func (h *Home) HostsLeaving(now clock.Moment, leaving map[string]bool) Effects {
	h.now = now
	for _, l := range h.ordered {
		l.hostLeaving = leaving[l.id.Name]
	}
	return h.drain()
}
