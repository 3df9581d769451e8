package routing

import (
	"testing"

	"boragehinge.example/boragehinge/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }
