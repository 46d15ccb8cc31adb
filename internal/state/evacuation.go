package state

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// maxEvacuations bounds the number of evacuated data centres.
	maxEvacuations = 64
	// maxDataCentreBytes bounds the name of a data centre in an order.
	maxDataCentreBytes = 64
	// maxOperatorBytes bounds the name of the operator in an order.
	maxOperatorBytes = 256
)

// CheckDataCentre returns why the name can't be that of a data centre, or an empty
// string if it can.
func CheckDataCentre(name string) string {
	switch {
	case name == "":
		return "the name of a data centre is empty"
	case len(name) > maxDataCentreBytes:
		return "the name of a data centre has more than 64 bytes"
	case !utf8.ValidString(name):
		return "the name of a data centre is not valid UTF-8"
	case strings.ContainsFunc(name, func(r rune) bool { return r == '/' || unicode.IsControl(r) }):
		return "the name of a data centre contains a slash or a control character"
	}
	return ""
}

// applyEvacuation starts or ends the evacuation of a data centre. An order that
// requires the state that the data centre already has changes nothing.
func (m *Machine) applyEvacuation(order *pb.SetEvacuation) *pb.SetEvacuationResult {
	at, found := findEvacuation(m.evacuations, order.DataCentre)
	if reason := m.validateEvacuation(order, found); reason != "" {
		return &pb.SetEvacuationResult{Revision: m.evacuations.GetRevision(), Invalid: reason}
	}
	if order.Evacuated == found {
		return &pb.SetEvacuationResult{Revision: m.evacuations.GetRevision()}
	}
	// Readers keep the set that Evacuations returned, so a change makes a new one.
	list := slices.Clone(m.evacuations.GetEvacuated())
	if order.Evacuated {
		list = slices.Insert(list, at, &pb.Evacuation{DataCentre: order.DataCentre, Operator: order.Operator, SinceUnixMs: m.timeMs})
	} else {
		list = slices.Delete(list, at, at+1)
	}
	m.evacuations = &pb.Evacuations{Revision: m.evacuations.GetRevision() + 1, Evacuated: list}
	return &pb.SetEvacuationResult{Revision: m.evacuations.Revision, Changed: true}
}

// validateEvacuation returns why an order is invalid, or an empty string. evacuated is
// set if its data centre is evacuated now.
func (m *Machine) validateEvacuation(order *pb.SetEvacuation, evacuated bool) string {
	if reason := CheckDataCentre(order.DataCentre); reason != "" {
		return reason
	}
	if len(order.Operator) > maxOperatorBytes {
		return "the operator's name has more than 256 bytes"
	}
	if order.Evacuated && !evacuated && len(m.evacuations.GetEvacuated()) >= maxEvacuations {
		return "64 data centres are evacuated already"
	}
	return ""
}

// findEvacuation returns the position of a data centre in the set, or the one at which it
// must be inserted.
func findEvacuation(set *pb.Evacuations, dataCentre string) (at int, found bool) {
	return slices.BinarySearchFunc(set.GetEvacuated(), dataCentre, func(e *pb.Evacuation, name string) int {
		return cmp.Compare(e.DataCentre, name)
	})
}

// Evacuations returns the set of evacuated data centres, or nil if there never was one.
// The message is shared and must not be modified.
func (m *Machine) Evacuations() *pb.Evacuations {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.evacuations
}

// Evacuated reports whether the set contains the data centre.
func Evacuated(set *pb.Evacuations, dataCentre string) bool {
	_, found := findEvacuation(set, dataCentre)
	return found
}

// restoreEvacuations checks what findEvacuation and applyEvacuation rely on.
func (m *Machine) restoreEvacuations(set *pb.Evacuations) error {
	if len(set.Evacuated) > maxEvacuations {
		return errors.New("snapshot has too many evacuations")
	}
	last := ""
	for _, e := range set.Evacuated {
		if CheckDataCentre(e.DataCentre) != "" || e.DataCentre <= last {
			return errors.New("evacuations are not ordered by valid names of data centres")
		}
		last = e.DataCentre
	}
	m.evacuations = proto.CloneOf(set)
	return nil
}
