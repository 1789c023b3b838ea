package burdocktoml

import "strings"

// maxTypos is how many letters may be wrong before a key is no longer taken
// for a misspelt one.
const maxTypos = 3

// nearest returns the name that key was probably meant to be, or "".
func nearest(key string, names []string) string {
	best := ""
	bestDistance := min(maxTypos, len(key)/3) + 1
	for _, name := range names {
		if n := distance(strings.ToLower(key), strings.ToLower(name)); n < bestDistance {
			best, bestDistance = name, n
		}
	}
	return best
}

// distance counts the letters to add, drop or change to turn a into b.
func distance(a, b string) int {
	if len(a)-len(b) > maxTypos || len(b)-len(a) > maxTypos {
		return maxTypos + 1
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(diagonal+cost, row[j]+1, row[j+1]+1)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
