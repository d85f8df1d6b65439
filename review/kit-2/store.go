package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

type putRecord struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

type transactionRecord struct {
	Puts   []putRecord `json:"puts,omitempty"`
	Remove []string    `json:"remove,omitempty"`
}

type routeRecord struct {
	Name        string   `json:"name"`
	Host        string   `json:"host"`
	Prefix      string   `json:"prefix"`
	Kind        string   `json:"kind"`
	TimeoutMs   int      `json:"timeoutMs"`
	ObjectiveMs int      `json:"sloMs"`
	Priority    int      `json:"priority"`
	Attempts    int      `json:"attempts"`
	Service     string   `json:"service,omitempty"`
	Shards      []string `json:"gather,omitempty"`
	Top         int      `json:"topK,omitempty"`
	MinCoverage float64  `json:"oldestVersion,omitempty"`
}

type serviceRecord struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	WarmupS    float64 `json:"warmupS"`
	WarmupPerS float64 `json:"warmupPerS"`
}

type limitsRecord struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

type configRecord struct {
	Version  int             `json:"version"`
	Routes   []routeRecord   `json:"routes"`
	Services []serviceRecord `json:"backends"`
	Limits   limitsRecord    `json:"limits"`
}

// smallLimits are the limits of a small deployment.
func smallLimits() limitsRecord {
	return limitsRecord{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}
}

type upstreamRecord struct {
	Service  string `json:"service"`
	Address  string `json:"addr"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"capacity"`
	State    string `json:"state"`
	WarmupMs int    `json:"warmupMs"`
	Seq      int    `json:"seq"`
	Born     int64  `json:"born"`
}

// put writes a key to the store.
func put(ctx context.Context, store, key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "store")
	}

	return commit(ctx, store, transactionRecord{Puts: []putRecord{{Key: key, Value: text}}})
}

// remove deletes a key from the store.
func remove(ctx context.Context, store, key string) error {
	return commit(ctx, store, transactionRecord{Remove: []string{key}})
}

func commit(ctx context.Context, store string, t transactionRecord) error {
	body, err := json.Marshal(t)
	if err != nil {
		return errors.Wrap(err, "store")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+store+"/-/kv-txn", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "store")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "store")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("store: status %d", response.StatusCode)
	}

	return nil
}

// register writes the entry of an upstream.
func (u *upstream) register(ctx context.Context, store string) error {
	return put(ctx, store, "servers/"+u.id, upstreamRecord{
		Service: u.service, Address: u.listener.Addr().String(), Zone: u.zone, Version: "v1", Slots: u.slots,
		State: "ready", Seq: 1, Born: u.started.UnixMilli(),
	})
}

// waitStore waits until the store answers.
func waitStore(ctx context.Context, store string) error {
	for ctx.Err() == nil {
		if answers(ctx, "http://"+store+"/-/kv-key?key=op/config") != 0 {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}

	return errors.New("store does not answer")
}

// waitReady waits until all daemons are ready.
func waitReady(ctx context.Context, readies []string) error {
	for _, address := range readies {
		for !ready(ctx, address) {
			if ctx.Err() != nil {
				return errors.Errorf("daemon at %s is not ready", address)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}

	return nil
}

func ready(ctx context.Context, address string) bool {
	return answers(ctx, "http://"+address+"/-/ready") == http.StatusOK
}

// answers returns the status of the answer to a GET request, or 0 without one.
func answers(ctx context.Context, url string) int {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)

	return response.StatusCode
}
