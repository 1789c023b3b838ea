package burdocktoml

import "strconv"

// Join returns the path of a key within a table.
func Join(table, key string) string {
	if !isBare(key) {
		key = strconv.Quote(key)
	}
	if table == "" {
		return key
	}
	return table + "." + key
}

// Item returns the path of element i of an array, counted from 0.
func Item(array string, i int) string {
	return array + "[" + strconv.Itoa(i) + "]"
}

func isBare(key string) bool {
	for i := range len(key) {
		c := key[i]
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		digit := '0' <= c && c <= '9'
		if !letter && !digit && c != '_' && c != '-' {
			return false
		}
	}
	return key != ""
}
