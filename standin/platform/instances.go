package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"jacinthferry/core/clock"
	"jacinthferry/io/store"
	"jacinthferry/standin/command"

	"github.com/pkg/errors"
)

// change is a line of the list of instances from an instant on.
type change struct {
	at       clock.Milli
	instance store.Instance
	gone     bool
}

// SetInstance adds a line to the list of instances, or changes it.
func (s *Store) SetInstance(name string, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append(s.instances, change{at: s.now(), instance: store.Instance{Name: name, Leaving: leaving}})
}

// RemoveInstance takes a line off the list of instances.
func (s *Store) RemoveInstance(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append(s.instances, change{at: s.now(), instance: store.Instance{Name: name}, gone: true})
}

// listInstances returns the list as it was a lag ago.
func (s *Store) listInstances(context.Context) ([]store.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.now() - s.faults.Lag
	var list []store.Instance
	for _, c := range s.instances {
		if c.at > seen {
			break
		}
		list = slices.DeleteFunc(list, func(i store.Instance) bool { return i.Name == c.instance.Name })
		if !c.gone {
			list = append(list, c.instance)
		}
	}
	slices.SortFunc(list, func(a, b store.Instance) int { return strings.Compare(a.Name, b.Name) })

	return list, nil
}

// order is what the command endpoint is told to do.
type order struct {
	Do      string `json:"do"`
	Faults  Faults `json:"faults"`
	Name    string `json:"name,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Commands returns the command endpoint.
func (s *Store) Commands() http.Handler {
	return command.Handler(func() any { return s.Seconds() }, s.do)
}

func (s *Store) do(text []byte) error {
	var o order
	if err := json.Unmarshal(text, &o); err != nil {
		return errors.Wrap(err, "platform: command")
	}
	switch o.Do {
	case "faults":
		s.SetFaults(o.Faults)
	case "instance":
		s.SetInstance(o.Name, o.Leaving)
	case "remove":
		s.RemoveInstance(o.Name)
	default:
		return errors.New("platform: do: want faults, instance or remove")
	}

	return nil
}
