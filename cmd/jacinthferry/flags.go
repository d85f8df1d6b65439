package main

import (
	"context"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"jacinthferry/client"
	"jacinthferry/core/reason"
	"jacinthferry/io/operator"
	"jacinthferry/io/rpc"
	"jacinthferry/io/secure"
)

// The names of flags that several commands have.
const (
	jsonFlag      = "json"
	operatorFlag  = "operator"
	seedFlag      = "seed"
	zoneFlag      = "zone"
	serviceFlag   = "service"
	deadlineFlag  = "deadline"
	priorityFlag  = "priority"
	timeoutFlag   = "timeout"
	authorityFlag = "authority"
	certFlag      = "cert"
	keyFlag       = "key"
	serverFlag    = "server"
	secretFlag    = "secret"
)

// environment is what the names of environment variables begin with.
const environment = "JACINTHFERRY_"

// operatorTimeout is the time that an operator's call is given.
const operatorTimeout = 10 * time.Second

func jsonOutput() cli.Flag { return &cli.BoolFlag{Name: jsonFlag, Usage: "print JSON"} }

func securityFlags() []cli.Flag {
	file := func(name, variable, use string) cli.Flag {
		return &cli.StringFlag{Name: name, Sources: cli.EnvVars(environment + variable), Usage: use}
	}

	return []cli.Flag{
		file(authorityFlag, "AUTHORITY", "trust daemons by the authorities in PEM `FILE`, and speak TLS"),
		file(certFlag, "CERT", "show the certificate in PEM `FILE`"),
		file(keyFlag, "KEY", "the key of --cert, a PEM `FILE`"),
		file(serverFlag, "SERVER", "`NAME` in the daemon's certificate, where that is not the address"),
		file(secretFlag, "SECRET", "`FILE` with the shared key"),
	}
}

// callerFlags are those of every command that calls as callers do.
func callerFlags(more ...cli.Flag) []cli.Flag {
	flags := append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: seedFlag, Required: true, Sources: cli.EnvVars(environment + "SEED"),
			Usage: "caller `ADDRESS` of a daemon, such as 10.0.0.1:7000; several may be given",
		},
		&cli.StringFlag{
			Name: zoneFlag, Sources: cli.EnvVars(environment + "ZONE"), Usage: "availability `ZONE` of the caller",
		},
		jsonOutput(),
	}, more...)

	return append(flags, securityFlags()...)
}

// operatorFlags are those of every command that calls as operators do.
func operatorFlags(more ...cli.Flag) []cli.Flag { return daemonFlags(true, more...) }

// daemonFlags are the flags of a command that calls a daemon, always or unless it has other means.
func daemonFlags(always bool, more ...cli.Flag) []cli.Flag {
	flags := append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: operatorFlag, Required: always, Sources: cli.EnvVars(environment + "OPERATOR"),
			Usage: "operator `ADDRESS` of a daemon, such as 10.0.0.1:7001; the next one is used if the first is not there",
		},
		&cli.DurationFlag{Name: timeoutFlag, Value: operatorTimeout, Usage: "time allowed"},
		jsonOutput(),
	}, more...)

	return append(flags, securityFlags()...)
}

func edge(c *cli.Command) (*secure.Edge, error) {
	return secure.New(secure.Files{
		Cert: c.String(certFlag), Key: c.String(keyFlag), Authority: c.String(authorityFlag),
		Server: c.String(serverFlag), Secret: c.String(secretFlag),
	}, nil)
}

func callerClient(c *cli.Command) (*client.Client, error) {
	e, err := edge(c)
	if err != nil {
		return nil, err
	}
	one := client.New(c.String(zoneFlag), c.StringSlice(seedFlag))
	if e == nil {
		return one, nil
	}

	return one.WithTransport(func() http.RoundTripper { return rpc.SecureClient(0, e).Transport }), nil
}

// ask calls the operators' side of the first daemon that is there.
func ask(
	ctx context.Context, c *cli.Command, call func(context.Context, *operator.Client) *reason.Refusal,
) (*reason.Refusal, error) {
	e, err := edge(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration(timeoutFlag))
	defer cancel()
	var refusal *reason.Refusal
	for _, address := range c.StringSlice(operatorFlag) {
		refusal = call(ctx, operator.New(address, rpc.SecureClient(0, e)))
		if refusal == nil || refusal.Reason != reason.Connection || refusal.Execution != reason.NotExecuted {
			return refusal, nil
		}
	}

	return refusal, nil
}
