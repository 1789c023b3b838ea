package burdockexpert

import (
	"encoding/binary"
	"slices"
)

// Difference encodes the changes from the map base to m: for each list of a rank
// and layer that differs, the distance from the previous such list and the
// experts that only one of the two maps places there. Both maps must have the
// same shape.
//
// The maps for all agents of a group go over one VM's link. In a large group,
// whole maps fill that link for seconds and delay the responses of the engine on
// the same VM. A change affects few of the experts, so differences are smaller.
func (m *Map) Difference(base *Map) ([]byte, error) {
	if m.shape != base.shape {
		return nil, MalformedMap.New("maps of shapes %+v and %+v can't be compared", base.shape, m.shape)
	}
	b := []byte{formatVersion}
	next := 0
	for i, held := range m.placement {
		changed := symmetricDifference(base.placement[i], held)
		if len(changed) == 0 {
			continue
		}
		b = binary.AppendUvarint(b, uint64(i-next))
		next = i + 1
		b = binary.AppendUvarint(b, uint64(len(changed)))
		nextExpert := uint64(0)
		for _, e := range changed {
			b = binary.AppendUvarint(b, uint64(e)-nextExpert)
			nextExpert = uint64(e) + 1
		}
	}
	return b, nil
}

// Apply applies a difference to m and returns the resulting map, whose digest has
// to be the given one. Any other result, and bytes that Difference does not
// return, give an error of type MalformedMap.
func (m *Map) Apply(difference []byte, digest uint64) (*Map, error) {
	d := decoder{buf: difference}
	if v := d.uvarint(); v != formatVersion {
		d.fail("format version %d, want %d", v, formatVersion)
	}
	out := m.clone()
	i := 0
	for d.err == nil && len(d.buf) > 0 {
		i += d.bounded(len(out.placement))
		if i >= len(out.placement) {
			d.fail("list %d of %d", i, len(out.placement))
			break
		}
		changed := d.expertList(m.shape.Experts)
		if len(changed) == 0 {
			d.fail("list %d has no expert", i)
		}
		out.placement[i] = symmetricDifference(out.placement[i], changed)
		i++
	}
	if d.err != nil {
		return nil, d.err
	}
	if got := out.Digest(); got != digest {
		return nil, MalformedMap.New("the difference gives a different map: digest %x, want %x", got, digest)
	}
	return out, nil
}

// symmetricDifference returns the elements that are in only one of two ascending
// lists, in ascending order.
func symmetricDifference(a, b []uint16) []uint16 {
	var only []uint16
	for len(a) > 0 && len(b) > 0 {
		switch {
		case a[0] == b[0]:
			a, b = a[1:], b[1:]
		case a[0] < b[0]:
			only, a = append(only, a[0]), a[1:]
		default:
			only, b = append(only, b[0]), b[1:]
		}
	}
	return slices.Concat(only, a, b)
}
