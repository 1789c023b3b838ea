// Package burdockwire holds the messages and the connect services between the
// system's own processes. All but this file and its tests is generated from
// burdockwire.proto by tools/generate; the result is committed.
package burdockwire

//go:generate sh -c "cd ../../../tools && go run ./generate"
