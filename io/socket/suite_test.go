package socket_test

import (
	"testing"

	"jacinthferry/standin/suite"
)

func TestSocket(t *testing.T) { suite.Run(t, "socket") }
