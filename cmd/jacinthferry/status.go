package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"jacinthferry/core/reason"
	"jacinthferry/io/daemon"
	"jacinthferry/io/operator"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the daemons, the upstreams and the services",
		Description: `Example:
  jacinthferry status --operator 10.0.0.1:7001`,
		Flags: operatorFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			var s operator.Status
			refusal, err := callOperator(ctx, c, func(ctx context.Context, o *operator.Client) (r *reason.Refusal) {
				s, r = o.Status(ctx)

				return r
			})
			if err == nil {
				err = refusalError(refusal)
			}
			if err != nil {
				return err
			}
			if c.Bool(jsonFlag) {
				printJSON(c.Root().Writer, toStatus(s))

				return nil
			}

			return printStatus(c.Root().Writer, s)
		},
	}
}

func printStatus(w io.Writer, s operator.Status) error {
	store, ready := "reachable", "ready"
	if !s.StoreReachable {
		store = "not reachable"
	}
	if !s.Ready {
		ready = "not ready"
	}
	_, _ = fmt.Fprintf(w, "%s in %s: %s, revision %d, store %s\n", s.Name, s.Zone, ready, s.Revision, store)
	states := make([]string, 0, len(s.UpstreamCounts))
	for state, n := range s.UpstreamCounts {
		states = append(states, fmt.Sprintf("%d %s", n, state))
	}
	slices.Sort(states)
	_, _ = fmt.Fprintf(w, "upstreams: %s\n\n", strings.Join(states, ", "))
	t := newTable(w, "DAEMON", "ZONE", "STATE", "OPERATOR", "REVISION", "ANSWERED")
	for _, m := range s.Members {
		t.row(m.Name, m.Zone, m.State, m.OperatorAddress, m.Revision, m.Answered)
	}
	if err := t.flush(); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(w)
	t = newTable(w, "SERVICE", "VERSION", "SHARE", "SNAPSHOT", "SHARDS", "RUNNING")
	for _, v := range s.Services {
		t.row(v.Name, v.Version, v.Share, v.Snapshot, fmt.Sprintf("%d of %d", v.Covered, v.Total), v.RunningLegs)
	}

	return t.flush()
}

type statusJSON struct {
	Name      string         `json:"name"`
	Zone      string         `json:"zone"`
	Release   string         `json:"release"`
	Ready     bool           `json:"ready"`
	Revision  int64          `json:"revision"`
	Started   string         `json:"started"`
	Store     bool           `json:"store"`
	Members   []memberJSON   `json:"members"`
	Upstreams map[string]int `json:"upstreams"`
	Services  []serviceJSON  `json:"services"`
}

type memberJSON struct {
	Name            string `json:"name"`
	Zone            string `json:"zone"`
	State           string `json:"state"`
	OperatorAddress string `json:"operator"`
	Revision        int64  `json:"revision"`
	Answered        bool   `json:"answered"`
}

type serviceJSON struct {
	Name        string  `json:"name"`
	Version     string  `json:"version"`
	Share       float64 `json:"share"`
	Snapshot    string  `json:"snapshot"`
	Covered     int     `json:"covered"`
	Total       int     `json:"total"`
	RunningLegs float64 `json:"running"`
}

func toStatus(s operator.Status) statusJSON {
	out := statusJSON{
		Name: s.Name, Zone: s.Zone, Release: s.Release, Ready: s.Ready, Revision: s.Revision,
		Started: formatTime(s.Started), Store: s.StoreReachable, Members: []memberJSON{}, Upstreams: s.UpstreamCounts,
		Services: []serviceJSON{},
	}
	for _, m := range s.Members {
		out.Members = append(out.Members, memberJSON(m))
	}
	for _, v := range s.Services {
		out.Services = append(out.Services, serviceJSON(v))
	}

	return out
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the release",
		Flags: []cli.Flag{jsonOutput()},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Bool(jsonFlag) {
				printJSON(c.Root().Writer, map[string]string{"release": daemon.Release()})
			} else {
				_, _ = fmt.Fprintln(c.Root().Writer, daemon.Release())
			}

			return nil
		},
	}
}
