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

// instanceChange is a change of the list of instances at a point in time.
type instanceChange struct {
	at       clock.Milli
	instance store.Instance
	removed  bool
}

// SetInstance adds an instance to the list, or replaces it.
func (s *Store) SetInstance(name string, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append(s.instances, instanceChange{at: s.now(), instance: store.Instance{Name: name, Leaving: leaving}})
}

// RemoveInstance removes an instance from the list.
func (s *Store) RemoveInstance(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append(s.instances, instanceChange{at: s.now(), instance: store.Instance{Name: name}, removed: true})
}

// listInstances returns the list as it was at the injected lag ago, sorted by name.
func (s *Store) listInstances(context.Context) ([]store.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := s.now() - s.faults.InstanceListLag
	var list []store.Instance
	for _, c := range s.instances {
		if c.at > asOf {
			break
		}
		list = slices.DeleteFunc(list, func(i store.Instance) bool { return i.Name == c.instance.Name })
		if !c.removed {
			list = append(list, c.instance)
		}
	}
	slices.SortFunc(list, func(a, b store.Instance) int { return strings.Compare(a.Name, b.Name) })

	return list, nil
}

// commandRequest is the body of a request to the command endpoint.
type commandRequest struct {
	Command string `json:"do"`
	Faults  Faults `json:"faults"`
	Name    string `json:"name,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// CommandHandler returns the handler of the command endpoint: GET /counts and POST /do.
func (s *Store) CommandHandler() http.Handler {
	return command.Handler(func() any { return s.CountsPerSecond() }, s.execute)
}

func (s *Store) execute(body []byte) error {
	var request commandRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return errors.Wrap(err, "platform: cannot decode command")
	}
	switch request.Command {
	case "faults":
		s.SetFaults(request.Faults)
	case "instance":
		s.SetInstance(request.Name, request.Leaving)
	case "remove":
		s.RemoveInstance(request.Name)
	default:
		return errors.New("platform: invalid do: want faults, instance or remove")
	}

	return nil
}
