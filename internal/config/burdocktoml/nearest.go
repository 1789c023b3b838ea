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

// distance counts the letters to add, drop, change or swap with the next one
// to turn a into b.
func distance(a, b string) int {
	if len(a)-len(b) > maxTypos || len(b)-len(a) > maxTypos {
		return maxTypos + 1
	}
	// rows[i][j] is the distance of the first i letters of a from the first j of b.
	rows := make([][]int, len(a)+1)
	for i := range rows {
		rows[i] = make([]int, len(b)+1)
		rows[i][0] = i
	}
	for j := range rows[0] {
		rows[0][j] = j
	}
	for i := 1; i <= len(a); i++ {
		for j := 1; j <= len(b); j++ {
			rows[i][j] = min(rows[i-1][j], rows[i][j-1]) + 1
			rows[i][j] = min(rows[i][j], rows[i-1][j-1]+differ(a[i-1], b[j-1]))
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				rows[i][j] = min(rows[i][j], rows[i-2][j-2]+1)
			}
		}
	}
	return rows[len(a)][len(b)]
}

func differ(a, b byte) int {
	if a == b {
		return 0
	}
	return 1
}
