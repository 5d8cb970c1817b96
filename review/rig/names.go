//go:build review

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names holds the paths and header names of the users' pages.
var names = readNames()

func readNames() map[string]string {
	read := map[string]string{}
	if err := json.Unmarshal(namesFile, &read); err != nil {
		panic(err)
	}
	return read
}
