package burdockexpert

import (
	"bytes"
	"testing"

	"github.com/joomcode/errorx"
)

func smallMap() *Map {
	m := NewMap(Shape{Layers: 2, Ranks: 2, Experts: 200})
	m.Add(0, 0, 3)
	m.Add(0, 0, 199)
	m.Add(0, 1, 0)
	m.Add(1, 1, 7)
	return m
}

func TestDecodeRejectsNonCanonicalEncodings(t *testing.T) {
	whole, err := smallMap().Encode()
	if err != nil {
		t.Fatal(err)
	}
	for name, b := range map[string][]byte{
		"empty":         {},
		"version":       append([]byte{2}, whole[1:]...),
		"cut":           whole[:len(whole)-1],
		"trailing":      append(bytes.Clone(whole), 0),
		"not minimal":   {1, 0x81, 0, 1, 1, 0},
		"no layers":     {1, 0, 1, 1},
		"huge shape":    {1, 0xff, 7, 0xff, 0x1f, 1, 0},
		"expert number": {1, 1, 1, 2, 1, 2},
		"too long list": {1, 1, 1, 2, 3, 0, 0, 0},
		"too large":     make([]byte, MaxEncodedSize+1),
	} {
		if _, err := Decode(b); !errorx.IsOfType(err, MalformedMap) {
			t.Errorf("%s: Decode error = %v, want MalformedMap", name, err)
		}
	}
}

func TestEncodedSizeOfLargestGroup(t *testing.T) {
	in := benchInput(1)
	b, err := in.Current.Encode()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("32 ranks, 128 experts, 60 layers, 6 slots: %d bytes", len(b))
	if got, want := len(b), 1<<14; got > want {
		t.Errorf("encoded size = %d, want at most %d", got, want)
	}
}

func FuzzDecode(f *testing.F) {
	whole, err := smallMap().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add([]byte{1, 0x81, 0, 1, 1, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		got, err := m.Encode()
		if err != nil || !bytes.Equal(got, b) {
			t.Errorf("Encode = %x, %v, want %x", got, err, b)
		}
	})
}

func TestCheckReportsAllFindings(t *testing.T) {
	m := NewMap(Shape{Layers: 1, Ranks: 2, Experts: 3})
	m.Add(0, 0, 0)
	m.Add(0, 0, 1)
	list := m.Check([]Rank{{Slots: 1, Speed: 1}, {Slots: 2, Speed: 1}})
	want := "layers.0.experts.2: no rank holds the expert; want at least one\n" +
		"layers.0.ranks.0: holds 2 experts; want at most 1"
	if err := list.Err(); err == nil || err.Error() != want {
		t.Errorf("Check = %v, want %s", err, want)
	}
}
