package burdockexpert

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
)

// MaxEncodedSize is the maximum size of an encoded map in bytes, which is the
// largest value that the configuration store accepts.
const MaxEncodedSize = 1 << 20

// formatVersion is the first byte of an encoded map.
const formatVersion = 1

var namespace = errorx.NewNamespace("burdockexpert")

// MalformedMap is the error type for bytes that don't decode to a map, and for
// maps that can't be encoded.
var MalformedMap = namespace.NewType("malformedMap")

// Encode returns the canonical encoding of m: the format version, the shape, and
// for each layer and rank the number of experts and the gaps between their
// numbers, all as minimal varints. Equal maps have equal encodings, so ranks can
// compare digests instead of maps.
func (m *Map) Encode() ([]byte, error) {
	size := m.encodedSize()
	if size > MaxEncodedSize {
		return nil, MalformedMap.New("encoding has %d bytes, limit %d", size, MaxEncodedSize)
	}
	return m.append(make([]byte, 0, size)), nil
}

func (m *Map) append(b []byte) []byte {
	b = append(b, formatVersion)
	b = binary.AppendUvarint(b, uint64(m.shape.Layers))
	b = binary.AppendUvarint(b, uint64(m.shape.Ranks))
	b = binary.AppendUvarint(b, uint64(m.shape.Experts))
	for _, held := range m.placement {
		b = binary.AppendUvarint(b, uint64(len(held)))
		next := uint64(0)
		for _, e := range held {
			b = binary.AppendUvarint(b, uint64(e)-next)
			next = uint64(e) + 1
		}
	}
	return b
}

func (m *Map) encodedSize() int { return len(m.append(nil)) }

// Digest returns the xxHash64 of m's encoding.
func (m *Map) Digest() uint64 { return xxhash.Sum64(m.append(nil)) }

// Decode decodes a map encoded by Encode. Any other bytes, including
// non-canonical encodings, give an error of type MalformedMap.
func Decode(b []byte) (*Map, error) {
	if len(b) > MaxEncodedSize {
		return nil, MalformedMap.New("%d bytes, limit %d", len(b), MaxEncodedSize)
	}
	d := decoder{buf: b}
	m := d.decode()
	if d.err != nil {
		return nil, d.err
	}
	if len(d.buf) > 0 {
		return nil, MalformedMap.New("%d bytes after the end", len(d.buf))
	}
	return m, nil
}

// decoder reads an encoded map from buf, and nothing more after the first error.
type decoder struct {
	buf []byte
	err error
}

func (d *decoder) decode() *Map {
	if v := d.uvarint(); v != formatVersion {
		d.fail("format version %d, want %d", v, formatVersion)
		return nil
	}
	layers, ranks, experts := d.bounded(maxLayers), d.bounded(maxRanks), d.bounded(maxExperts)
	s := Shape{Layers: layers, Ranks: ranks, Experts: experts}
	if d.err != nil || !s.valid() {
		d.fail("shape %+v is out of limits", s)
		return nil
	}
	// Each rank's list takes at least one byte. Without this check a few bytes
	// could make NewMap allocate the memory of the largest shape.
	if s.Layers*s.Ranks > len(d.buf) {
		d.fail("%d bytes are too few for %+v", len(d.buf), s)
		return nil
	}
	m := NewMap(s)
	for i := range m.placement {
		m.placement[i] = d.expertList(experts)
	}
	return m
}

func (d *decoder) expertList(experts int) []uint16 {
	n := d.bounded(min(experts, len(d.buf)))
	if n == 0 || d.err != nil {
		return nil
	}
	held := make([]uint16, 0, n)
	next := 0
	for range n {
		e := next + d.bounded(experts)
		if e >= experts {
			d.fail("expert %d of %d", e, experts)
			return nil
		}
		held = append(held, uint16(e))
		next = e + 1
	}
	return held
}

func (d *decoder) bounded(limit int) int {
	v := d.uvarint()
	if v > uint64(limit) {
		d.fail("number %d, limit %d", v, limit)
		return 0
	}
	return int(v)
}

func (d *decoder) uvarint() uint64 {
	if d.err != nil {
		return 0
	}
	v, n := binary.Uvarint(d.buf)
	if n <= 0 {
		d.fail("varint is truncated or too long")
		return 0
	}
	// A longer encoding of the same number would give one map two digests.
	if n > 1 && d.buf[n-1] == 0 {
		d.fail("varint is not minimal")
		return 0
	}
	d.buf = d.buf[n:]
	return v
}

func (d *decoder) fail(format string, args ...any) {
	if d.err == nil {
		d.err = MalformedMap.New(format, args...)
	}
}
