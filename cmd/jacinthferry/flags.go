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

// Names of flags that several commands share.
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

// envPrefix is the prefix of the names of environment variables.
const envPrefix = "JACINTHFERRY_"

// operatorTimeout is the default timeout of a command that calls the operator API.
const operatorTimeout = 10 * time.Second

func jsonOutput() cli.Flag { return &cli.BoolFlag{Name: jsonFlag, Usage: "print JSON"} }

func securityFlags() []cli.Flag {
	stringFlag := func(name, variable, usage string) cli.Flag {
		return &cli.StringFlag{Name: name, Sources: cli.EnvVars(envPrefix + variable), Usage: usage}
	}

	return []cli.Flag{
		stringFlag(authorityFlag, "AUTHORITY", "use TLS and verify daemons with the CA certificates in PEM `FILE`"),
		stringFlag(certFlag, "CERT", "present the client certificate in PEM `FILE`"),
		stringFlag(keyFlag, "KEY", "private key of --cert, a PEM `FILE`"),
		stringFlag(serverFlag, "SERVER", "expected `NAME` in the daemon's certificate, if it differs from the address"),
		stringFlag(secretFlag, "SECRET", "`FILE` that holds the shared key"),
	}
}

// callerFlags returns the flags of a command that calls the caller API, including more.
func callerFlags(more ...cli.Flag) []cli.Flag {
	flags := append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: seedFlag, Required: true, Sources: cli.EnvVars(envPrefix + "SEED"),
			Usage: "caller `ADDRESS` of a daemon, such as 10.0.0.1:7000; may be repeated",
		},
		&cli.StringFlag{
			Name: zoneFlag, Sources: cli.EnvVars(envPrefix + "ZONE"), Usage: "availability `ZONE` of the caller",
		},
		jsonOutput(),
	}, more...)

	return append(flags, securityFlags()...)
}

// operatorFlags returns the flags of a command that calls the operator API, including more.
func operatorFlags(more ...cli.Flag) []cli.Flag { return daemonFlags(true, more...) }

// daemonFlags is like operatorFlags, for a command that may also work without a daemon: required reports
// whether an address has to be given.
func daemonFlags(required bool, more ...cli.Flag) []cli.Flag {
	flags := append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: operatorFlag, Required: required, Sources: cli.EnvVars(envPrefix + "OPERATOR"),
			Usage: "operator `ADDRESS` of a daemon, such as 10.0.0.1:7001; may be repeated, the first reachable one is used",
		},
		&cli.DurationFlag{Name: timeoutFlag, Value: operatorTimeout, Usage: "timeout of the command"},
		jsonOutput(),
	}, more...)

	return append(flags, securityFlags()...)
}

func newCredentials(c *cli.Command) (*secure.Credentials, error) {
	return secure.New(secure.Files{
		Cert: c.String(certFlag), Key: c.String(keyFlag), CA: c.String(authorityFlag),
		ServerName: c.String(serverFlag), Secret: c.String(secretFlag),
	}, nil)
}

func callerClient(c *cli.Command) (*client.Client, error) {
	e, err := newCredentials(c)
	if err != nil {
		return nil, err
	}
	caller := client.New(c.String(zoneFlag), c.StringSlice(seedFlag))
	if e == nil {
		return caller, nil
	}

	return caller.WithTransport(func() http.RoundTripper { return rpc.NewClientWithCredentials(0, e).Transport }), nil
}

// callOperator calls the operator API of the first reachable daemon. It tries the next address only if the
// connection failed and the call was not executed.
func callOperator(
	ctx context.Context, c *cli.Command, call func(context.Context, *operator.Client) *reason.Refusal,
) (*reason.Refusal, error) {
	e, err := newCredentials(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration(timeoutFlag))
	defer cancel()
	var refusal *reason.Refusal
	for _, address := range c.StringSlice(operatorFlag) {
		refusal = call(ctx, operator.NewClient(address, rpc.NewClientWithCredentials(0, e)))
		if refusal == nil || refusal.Reason != reason.Connection || refusal.Run != reason.NotExecuted {
			return refusal, nil
		}
	}

	return refusal, nil
}
