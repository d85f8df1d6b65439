package gateway_test

import (
	"testing"

	"jacinthferry/standin/suite"
)

func TestGateway(t *testing.T) { suite.Run(t, "gateway") }
