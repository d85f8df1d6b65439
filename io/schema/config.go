package schema

import (
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"jacinthferry/core/config"
	"jacinthferry/core/fault"
)

// ForConfig returns the schema of the operators' configuration. It is compiled once.
var ForConfig = sync.OnceValues(func() (*Schema, error) {
	return For("jacinthferry configuration", config.Config{})
})

// CheckConfig decodes a configuration and returns all its faults. Values are checked only if the
// document conforms to the schema. The error wraps [ErrDocument].
func CheckConfig(document []byte) (config.Config, []fault.Fault, error) {
	s, err := ForConfig()
	if err != nil {
		return config.Config{}, nil, err
	}
	faults, err := s.Check(document)
	if err != nil || len(faults) > 0 {
		return config.Config{}, faults, err
	}
	c, err := config.Decode(document)
	if err != nil {
		if f, ok := TypeFault(json.Unmarshal(document, &c)); ok {
			return config.Config{}, []fault.Fault{f}, nil
		}

		return config.Config{}, nil, errors.Wrapf(ErrInvalidDocument, "%v", err)
	}

	return c, c.Check(), nil
}
