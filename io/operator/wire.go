package operator

import (
	"encoding/json"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/event"
)

// The paths of the procedures that a daemon serves to operators.
const (
	applyProcedure   = "/operator/apply"
	zoneProcedure    = "/operator/zone"
	getProcedure     = "/operator/get"
	historyProcedure = "/operator/history"
	statusProcedure  = "/operator/status"
	eventsProcedure  = "/operator/events"
)

type applyRequest struct {
	Config json.RawMessage `json:"config"`
	Who    string          `json:"who,omitempty"`
	Note   string          `json:"note,omitempty"`
	Expect int64           `json:"expect,omitempty"`
	Force  bool            `json:"force,omitempty"`
}

type zoneRequest struct {
	Zone   string `json:"zone"`
	Out    bool   `json:"out"`
	Who    string `json:"who,omitempty"`
	Note   string `json:"note,omitempty"`
	Expect int64  `json:"expect,omitempty"`
	Force  bool   `json:"force,omitempty"`
}

type changeResponse struct {
	Revision int64 `json:"revision"`
	Previous int64 `json:"previous"`
}

type getRequest struct{}

type getResponse struct {
	revisionInfo
	Config config.Config `json:"config"`
}

type revisionInfo struct {
	Revision int64  `json:"revision"`
	Who      string `json:"who,omitempty"`
	Note     string `json:"note,omitempty"`
	At       string `json:"at,omitempty"`
}

type historyRequest struct {
	Limit int `json:"limit,omitempty"`
}

type historyResponse struct {
	Changes []revisionInfo `json:"changes"`
}

type statusRequest struct{}

type statusResponse struct {
	Name      string         `json:"name"`
	Zone      string         `json:"zone"`
	Release   string         `json:"release"`
	Ready     bool           `json:"ready"`
	Revision  int64          `json:"revision"`
	Started   string         `json:"started"`
	Store     bool           `json:"store"`
	Members   []member       `json:"members"`
	Upstreams map[string]int `json:"upstreams"`
	Services  []service      `json:"services"`
}

type member struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	State    string `json:"state,omitempty"`
	Operator string `json:"operator,omitempty"`
	Revision int64  `json:"revision,omitempty"`
	Answered bool   `json:"answered"`
}

type service struct {
	Name     string  `json:"name"`
	Version  string  `json:"version"`
	Share    float64 `json:"share"`
	Snapshot string  `json:"snapshot,omitempty"`
	Covered  int     `json:"covered"`
	Total    int     `json:"total"`
	Running  float64 `json:"running"`
}

type eventsRequest struct {
	// Since is the age of the oldest event to return.
	Since clock.Milli `json:"since,omitempty"`
	// Service, Kind and Reason keep only events with that value.
	Service string `json:"service,omitempty"`
	Kind    string `json:"kind,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// Limit is the greatest number of events; the newest are returned.
	Limit int `json:"limit,omitempty"`
}

type eventsResponse struct {
	Events []eventRecord `json:"events"`
	// Skipped is the number of older matches beyond the limit.
	Skipped int `json:"skipped,omitempty"`
}

type eventRecord struct {
	At       string `json:"at"`
	Kind     string `json:"kind"`
	Reason   string `json:"reason,omitempty"`
	Service  string `json:"service,omitempty"`
	Version  string `json:"version,omitempty"`
	Zone     string `json:"zone,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	Daemon   string `json:"daemon,omitempty"`
	Request  string `json:"request,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

func toRevisionInfo(r Record) revisionInfo {
	return revisionInfo{Revision: r.Revision, Who: r.Who, Note: r.Note, At: formatTime(r.At)}
}

func (r revisionInfo) revisionInfo() Record {
	return Record{Revision: r.Revision, Who: r.Who, Note: r.Note, At: parseTime(r.At)}
}

func toStatus(s Status) *statusResponse {
	r := &statusResponse{
		Name: s.Name, Zone: s.Zone, Release: s.Release, Ready: s.Ready, Revision: s.Revision,
		Started: formatTime(s.Started), Store: s.Store, Members: []member{}, Upstreams: s.Upstreams, Services: []service{},
	}
	for _, m := range s.Members {
		r.Members = append(r.Members, member(m))
	}
	for _, v := range s.Services {
		r.Services = append(r.Services, service(v))
	}

	return r
}

func (r *statusResponse) status() Status {
	s := Status{
		Name: r.Name, Zone: r.Zone, Release: r.Release, Ready: r.Ready, Revision: r.Revision,
		Started: parseTime(r.Started), Store: r.Store, Upstreams: r.Upstreams,
	}
	for _, m := range r.Members {
		s.Members = append(s.Members, Member(m))
	}
	for _, v := range r.Services {
		s.Services = append(s.Services, Service(v))
	}

	return s
}

func toEventRecord(e event.Event) eventRecord {
	return eventRecord{
		At: formatTime(e.At), Kind: string(e.Kind), Reason: string(e.Reason), Service: e.Service, Version: e.Version,
		Zone: e.Zone, Upstream: e.Upstream, Daemon: e.Daemon, Request: e.Request, Revision: e.Revision, Detail: e.Detail,
	}
}

// timeLayout is RFC 3339 with milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

func formatTime(at clock.Milli) string {
	if at == 0 {
		return ""
	}

	return at.Time().Format(timeLayout)
}

func parseTime(text string) clock.Milli {
	t, err := time.Parse(timeLayout, text)
	if err != nil {
		return 0
	}

	return clock.FromTime(t)
}
