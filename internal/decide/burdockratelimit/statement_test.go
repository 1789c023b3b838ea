package burdockratelimit

import "testing"

func TestParse(t *testing.T) {
	for text, want := range map[string]Statement{
		"":        Unlimited{},
		"  ":      Unlimited{},
		"1":       Limited{1},
		" 0.25 ":  Limited{0.25},
		"0":       Limited{0},
		"-0":      Limited{0},
		"1e300":   Limited{maxRate},
		"-1":      Unreadable{"-1"},
		"NaN":     Unreadable{"NaN"},
		"Inf":     Unreadable{"Inf"},
		"1e999":   Unreadable{"1e999"},
		"1,5":     Unreadable{"1,5"},
		"one":     Unreadable{"one"},
		"1 a sec": Unreadable{"1 a sec"},
	} {
		if got := Parse(text); got != want {
			t.Errorf("Parse(%q): got %#v, want %#v", text, got, want)
		}
	}
}
