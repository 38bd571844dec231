package app

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
	"github.com/google/uuid"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"buckthornpin/conn"
	"buckthornpin/oper"
	"buckthornpin/wire"
)

// operatorTimeout bounds one command of an operator.
const operatorTimeout = 15 * time.Second

// Environment variables that are used in place of flags that aren't given.
const (
	operatorURLVariable = "BUCKTHORNPIN_OPERATOR_URL"
	operatorKeyVariable = "BUCKTHORNPIN_OPERATOR_KEY"
)

// operatorCommand holds the flags that the operators' commands share.
type operatorCommand struct {
	*Shell
	urls    string
	keyFile string
	change  string
	json    bool
	tls     tlsFlags
}

// tlsFlags holds the paths of the PEM files for TLS.
type tlsFlags struct {
	cert, key, ca string
}

func (c *operatorCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.urls, "url", envOr(operatorURLVariable, "http://127.0.0.1:8084"), "base URLs of the operators' interface, comma separated; the first that answers serves")
	f.StringVar(&c.keyFile, "key-file", "", "file with the operator's key; else $"+operatorKeyVariable)
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.StringVar(&c.tls.cert, "cert", "", "PEM file of the client's certificate, for https")
	f.StringVar(&c.tls.key, "cert-key", "", "PEM file of the certificate's key, for https")
	f.StringVar(&c.tls.ca, "ca", "", "PEM file of the authority, for https")
}

func (c *operatorCommand) setChangeFlag(f *flag.FlagSet) {
	f.StringVar(&c.change, "change", "", "id of the change; send a change whose reply was lost again under the same id")
}

func (c *operatorCommand) changeID() string {
	if c.change == "" {
		c.change = uuid.NewString()
	}
	return c.change
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// clients returns a client for each URL.
func (c *operatorCommand) clients() ([]*oper.Client, error) {
	key := os.Getenv(operatorKeyVariable)
	if c.keyFile != "" {
		var err error
		if key, err = readSecret(c.keyFile); err != nil {
			return nil, err
		}
	}
	h := (&conn.Dialer{}).ExternalClient()
	if c.tls.ca != "" {
		files := &conn.TLSFiles{CertFile: c.tls.cert, KeyFile: c.tls.key, CAFile: c.tls.ca}
		cfg, err := files.ClientConfig()
		if err != nil {
			return nil, err
		}
		h = (&conn.Dialer{TLS: cfg}).ExternalClient()
	}
	var out []*oper.Client
	for _, u := range strings.Split(c.urls, ",") {
		out = append(out, &oper.Client{HTTP: h, URL: strings.TrimSuffix(strings.TrimSpace(u), "/"), Key: key})
	}
	return out, nil
}

// firstAnswer calls ask for each URL in turn until one is available, and returns
// its answer or its refusal.
func firstAnswer[T any](ctx context.Context, c *operatorCommand, ask func(context.Context, *oper.Client) (T, error)) (T, error) {
	var zero T
	clients, err := c.clients()
	if err != nil {
		return zero, err
	}
	for _, client := range clients {
		var out T
		out, err = ask(ctx, client)
		if !errors.Is(err, &oper.Error{Kind: oper.KindUnavailable}) {
			return out, err
		}
	}
	return zero, err
}

// send commits a change and prints its result, or successText where the change
// was accepted.
func (c *operatorCommand) send(ctx context.Context, m *wire.Command, successText string) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	m.Id = c.changeID()
	r, err := firstAnswer(ctx, c, func(ctx context.Context, client *oper.Client) (*wire.Result, error) { return client.Change(ctx, m) })
	if err != nil {
		return c.failChange(err)
	}
	if c.json {
		c.printMessage(r)
	} else if r.GetKind() == wire.ResultKind_RESULT_KIND_OK {
		_, _ = fmt.Fprintln(c.Out, successText+resultDetail(r))
	}
	if r.GetKind() != wire.ResultKind_RESULT_KIND_OK {
		if r.GetContent() != "" {
			_, _ = fmt.Fprintf(c.Err, "in force is version %d:\n%s\n", r.GetVersion(), r.GetContent())
		}
		return c.fail(ExitRefused, errors.New(r.GetMessage()))
	}
	return ExitOK
}

func resultDetail(r *wire.Result) string {
	if r.GetVersion() > 0 {
		return fmt.Sprintf(": version %d", r.GetVersion())
	}
	return ""
}

func (c *operatorCommand) failChange(err error) subcommands.ExitStatus {
	if errors.Is(err, &oper.Error{Kind: oper.KindUnavailable}) {
		_, _ = fmt.Fprintf(c.Err, "the change may have been accepted; send it again with -change %s\n", c.change)
		return c.fail(ExitFailed, err)
	}
	if errors.Is(err, &oper.Error{Kind: oper.KindInvalid}) {
		return c.fail(ExitUsage, err)
	}
	return c.fail(ExitRefused, err)
}

func (c *operatorCommand) printMessage(m proto.Message) {
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		panic(err) // Messages of package wire always encode.
	}
	_, _ = fmt.Fprintln(c.Out, string(data))
}

func (c *operatorCommand) printJSON(v any) {
	_ = json.NewEncoder(c.Out).Encode(v)
}

// oneArgument returns the command's only argument.
func oneArgument(f *flag.FlagSet, what string) (string, error) {
	if f.NArg() != 1 {
		return "", &Error{Op: f.Name(), Kind: KindUsage, Err: errors.Errorf("expected one argument: %s", what)}
	}
	return f.Arg(0), nil
}
