package world_test

import (
	"testing"

	"jacinthferry/standin/suite"
)

func TestWorld(t *testing.T) { suite.Run(t, "world") }
