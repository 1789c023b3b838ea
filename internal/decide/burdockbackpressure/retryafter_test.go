package burdockbackpressure

import "testing"

func TestParseRetryAfter(t *testing.T) {
	const sent = "Thu, 03 Dec 2026 12:00:00 GMT"
	for _, c := range []struct {
		text, date string
		want       Pause
	}{
		{"", sent, Pause{}},
		{"3", "", Pause{For: 3000}},
		{" 2.5 ", "", Pause{For: 2500}},
		{"0.0001", "", Pause{For: 1}},
		{"0", "", Pause{}},
		{"-3", "", Pause{}},
		{"1e30", "", Pause{For: MaxPause}},
		{"Inf", "", Pause{For: MaxPause}},
		{"1e999", "", Pause{Unreadable: "1e999"}},
		{"NaN", "", Pause{Unreadable: "NaN"}},
		{"soon", sent, Pause{Unreadable: "soon"}},
		{"3 s", sent, Pause{Unreadable: "3 s"}},
		{"Thu, 03 Dec 2026 12:00:05 GMT", sent, Pause{For: 5000}},
		{"Thu, 03 Dec 2026 11:59:00 GMT", sent, Pause{}},
		{"Thu, 03 Dec 2099 12:00:00 GMT", sent, Pause{For: MaxPause}},
		{"Thu, 03 Dec 2026 12:00:05 GMT", "", Pause{Unreadable: "Thu, 03 Dec 2026 12:00:05 GMT"}},
	} {
		if got := ParseRetryAfter(c.text, c.date); got != c.want {
			t.Errorf("ParseRetryAfter(%q, %q): got %+v, want %+v", c.text, c.date, got, c.want)
		}
	}
}
