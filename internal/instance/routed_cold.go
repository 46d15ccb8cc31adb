package instance

import (
	"github.com/wigeonwood/wigeonwood/internal/permits"
	"github.com/wigeonwood/wigeonwood/internal/picker"
)

// coldRule returns the configuration of the cold targets of a service in the active table.
func (in *Routed) coldRule(service string) picker.ColdRule {
	index := in.activeTable.Current()
	if index == nil {
		return picker.ColdRule{}
	}
	s := index.Service(service)
	if s == nil {
		return picker.ColdRule{}
	}
	return picker.ColdRule{
		ColdBound: permits.ColdBoundOf(s.ColdPerSecond, in.cfg.ColdOverrun, in.cfg.ColdSlack),
		Start:     s.ColdStart,
	}
}
