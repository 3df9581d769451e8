// Package examples holds the sample inventories, so that development mode works without their files.
package examples

import _ "embed"

// YeuxClairs is the sample inventory of Atelier Yeux Clairs.
//
//go:embed yeux-clairs.yaml
var YeuxClairs []byte
