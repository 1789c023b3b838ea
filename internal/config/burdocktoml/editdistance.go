package burdocktoml

import "strings"

// maxDistance is the maximum edit distance at which an unknown key is considered a
// misspelling of a known one.
const maxDistance = 3

// closestName returns the name with the smallest edit distance to key, or "" if none is
// close enough to be what the operator meant.
func closestName(key string, names []string) string {
	best := ""
	bestDistance := min(maxDistance, len(key)/3) + 1
	for _, name := range names {
		if n := distance(strings.ToLower(key), strings.ToLower(name)); n < bestDistance {
			best, bestDistance = name, n
		}
	}
	return best
}

// distance returns the edit distance of a and b in bytes: the number of insertions,
// deletions, substitutions and swaps of adjacent bytes that turn a into b.
func distance(a, b string) int {
	if len(a)-len(b) > maxDistance || len(b)-len(a) > maxDistance {
		return maxDistance + 1
	}
	// rows[i][j] is the distance between a[:i] and b[:j].
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
			rows[i][j] = min(rows[i][j], rows[i-1][j-1]+substitutionCost(a[i-1], b[j-1]))
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				rows[i][j] = min(rows[i][j], rows[i-2][j-2]+1)
			}
		}
	}
	return rows[len(a)][len(b)]
}

func substitutionCost(a, b byte) int {
	if a == b {
		return 0
	}
	return 1
}
