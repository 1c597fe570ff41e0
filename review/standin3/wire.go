package main

import (
	_ "embed"
	"encoding/json"
)

// wireNames are the names of the platform that only the package platform may state in its source.
type wireNames struct {
	ID               string `json:"id"`                // header: id of a request
	Deadline         string `json:"deadline"`          // header: milliseconds that the client waits
	ExpectedInstance string `json:"expected_instance"` // header
	NotRun           string `json:"not_run"`           // header
	Signature        string `json:"signature"`         // header
	Caller           string `json:"caller"`            // header: service of the caller
	RPCPath          string `json:"rpc_path"`
	ReadyPath        string `json:"ready_path"`
	SettingsVariable string `json:"settings_variable"` // environment variable
	Base             string `json:"base"`              // key of a configuration
	ReadySetting     string `json:"ready_setting"`     // key of the settings
}

//go:embed wire.json
var wireFile []byte

var wire = readWireNames()

func readWireNames() (names wireNames) {
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err) // cannot happen: the file is part of the program
	}
	return names
}
