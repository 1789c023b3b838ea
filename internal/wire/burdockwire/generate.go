// Package burdockwire contains the messages and Connect services that the system's
// processes use among themselves. Its *.pb.go and *.connect.go files are generated
// from burdockwire.proto by tools/generate and committed.
package burdockwire

//go:generate sh -c "cd ../../../tools && go run ./generate"
