package home

import (
	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// Configure applies a configuration read from the store if its revision is
// higher. An entry does not settle before its first call; the document of that
// call may be empty.
func (h *Home) Configure(now clock.Moment, d config.Document) Effects {
	h.now = now
	h.configured = true
	h.configure(d)
	h.settle()
	return h.takeEffects()
}

// adoptConfig applies a configuration sent by another entry.
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
	h.previousLongest, h.previousLongestUntil = before, h.now.Mono+before+h.cfg.Skew
	h.config = config.NewView(d)
	h.effects.Configured = true
	h.countOwners()
	for _, l := range h.ordered {
		h.sendUpdates(l)
	}
}

// configFor returns the message that carries l's part of the configuration.
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

// HostsLeaving records which hosts of the host list are leaving, by name. An
// agent has the name of its host.
func (h *Home) HostsLeaving(now clock.Moment, leaving map[string]bool) Effects {
	h.now = now
	for _, l := range h.ordered {
		l.hostLeaving = leaving[l.id.Name]
	}
	return h.takeEffects()
}
