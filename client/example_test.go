package client_test

import (
	"context"
	"fmt"
	"time"

	"jacinthferry/client"
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
	"jacinthferry/standin/local"

	"github.com/pkg/errors"
)

// startDeployment starts a small deployment and waits until its services answer.
func startDeployment() (*local.Deployment, error) {
	d, err := local.Start(context.Background(), local.Options{
		Daemons: 1, Zones: 1, Services: []string{"markers"}, Upstreams: 1, Shards: 4, Replicas: 1,
	})
	if err != nil {
		return nil, err
	}
	if err := d.ApplyConfig(context.Background()); err != nil {
		return nil, err
	}
	c := client.New("zone-a", d.CallerAddresses())
	for range 200 {
		if _, err = c.Query(context.Background(), query.Request{Service: "markers"}); err == nil {
			return d, nil
		}
		time.Sleep(50 * time.Millisecond)
	}

	return nil, err
}

// A query is idempotent: the client resends it automatically when a daemon stops.
func ExampleClient_Query() {
	d, err := startDeployment()
	if err != nil {
		fmt.Println(err)

		return
	}
	defer d.Close()
	c := client.New("zone-a", d.CallerAddresses())
	reply, err := c.Query(context.Background(), query.Request{
		Service: "markers", Text: "cairn", Top: 2, Deadline: c.Deadline(10 * clock.Second), Priority: leg.Urgent,
	})
	if err != nil {
		fmt.Println(err)

		return
	}
	fmt.Printf("%d of %d shards of %s, %d documents\n", reply.Covered, reply.Total, reply.Snapshot, len(reply.Documents))
	// Output: 4 of 4 shards of markers-2026-12-01, 2 documents
}

// Every error is a *client.Error, whose Refusal says why the request failed and whether it was run.
func ExampleError() {
	d, err := startDeployment()
	if err != nil {
		fmt.Println(err)

		return
	}
	defer d.Close()
	_, err = client.New("zone-a", d.CallerAddresses()).Query(context.Background(), query.Request{Service: "nonsense"})
	var e *client.Error
	if errors.As(err, &e) {
		fmt.Println(e.Refusal.Reason, e.Refusal.Run, e.Refusal.Reason == reason.Service)
	}
	// Output: service no true
}

// If a submit may have to be resent after the caller's own restart, the caller chooses and stores its id.
func ExampleClient_Submit() {
	c := client.New("zone-a", []string{"127.0.0.1:1"})
	_, err := c.Submit(context.Background(), client.Submit{
		ID: client.NewID(), Service: "reprints", Body: "poster-00001", Deadline: c.Deadline(clock.Second),
	})
	var e *client.Error
	if errors.As(err, &e) && e.Refusal.Run != reason.Executed {
		fmt.Println("run:", e.Refusal.Run)
	}
	// Output: run: no
}
