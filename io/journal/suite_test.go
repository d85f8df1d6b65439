package journal_test

import (
	"testing"

	"jacinthferry/standin/suite"
)

func TestJournal(t *testing.T) { suite.Run(t, "journal") }
