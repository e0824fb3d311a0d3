package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"greengageslip/core/ggsdocument"
	"greengageslip/io/ggsconfig"
	"greengageslip/io/ggsplatform"
	"greengageslip/io/ggstoml"
)

const (
	program = "ggsctl"
	// callTimeout bounds the read of a process's state.
	callTimeout = 3 * time.Second
)

// streams are a command's standard input, output and error.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// A command is one of ggsctl's commands, such as get or apply, with its options.
type command interface {
	run(ctx context.Context, a *app) error
}

// globalOptions are the options before the command.
type globalOptions struct {
	Settings string `description:"settings of this client (TOML)" long:"settings" value-name:"FILE"`
	Platform string `description:"address of the platform's service" long:"platform" value-name:"ADDR"`
	// Entries are the state addresses of entry processes.
	Entries []string `description:"state address of an entry process; may be repeated" long:"entry" value-name:"ADDR"`
	Verbose bool     `description:"log calls to the platform to standard error" long:"verbose" short:"v"`
}

// settingsFile holds the client's settings.
type settingsFile struct {
	Platform netip.AddrPort   `toml:"platform"`
	Entries  []netip.AddrPort `toml:"entries"`
	Gateway  netip.AddrPort   `toml:"gateway"`
	By       string           `toml:"by"`
}

// An app holds the streams, options and settings that commands use.
type app struct {
	streams  streams
	options  globalOptions
	settings settingsFile
	// newChangeID returns a new, unique id.
	newChangeID func() ggsdocument.ChangeID
}

// A listedCommand is a command with its help.
type listedCommand struct {
	name    string
	short   string
	long    string
	command command
}

func commands() []listedCommand {
	return []listedCommand{
		{"validate", "check section files", validateLong, &validateCommand{}},
		{"get", "print a section, or the list of sections", getLong, &getCommand{}},
		{"apply", "replace a section with a file", applyLong, &applyCommand{}},
		{"edit", "change values of a section", editLong, &editCommand{}},
		{"diff", "compare a section with a file", diffLong, &diffCommand{}},
		{"status", "show the revision in force on each VM", statusLong, &statusCommand{}},
		{"fleet", "show a deployment on the users' platform", fleetLong, &fleetCommand{}},
		{"dump", "print a process's state", dumpLong, &dumpCommand{}},
		{"explain", "explain from logs how a request was handled", explainLong, &explainCommand{}},
		{"report", "count from logs the requests that missed their objectives", reportLong, &reportCommand{}},
		{"request", "send a request through a gateway", requestLong, &requestCommand{}},
	}
}

// run runs one command line and returns its exit code.
func run(ctx context.Context, args []string, s streams) int {
	a := &app{streams: s, newChangeID: func() ggsdocument.ChangeID { return ggsdocument.ChangeID(uuid.NewString()) }}
	c, err := a.parse(args)
	if err == nil {
		err = a.readSettings()
	}
	if err == nil {
		err = c.run(ctx, a)
	}
	return int(a.report(err))
}

// parse returns the command that the arguments name, with its options set.
func (a *app) parse(args []string) (command, error) {
	p := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "the operators' client of greengageslip"
	if _, err := p.AddGroup("Global options", "", &a.options); err != nil {
		return nil, errors.Wrap(err, "adding options")
	}
	byName := map[string]command{}
	for _, l := range commands() {
		if _, err := p.AddCommand(l.name, l.short, l.long, l.command); err != nil {
			return nil, errors.Wrapf(err, "adding command %s", l.name)
		}
		byName[l.name] = l.command
	}
	rest, err := p.ParseArgs(args)
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		return nil, &usageError{detail: fmt.Sprintf("unexpected argument %q", rest[0])}
	}
	return byName[p.Active.Name], nil
}

// readSettings reads the settings file and applies the options, which take precedence.
func (a *app) readSettings() error {
	if a.options.Settings != "" {
		if err := ggstoml.ReadSettings(a.options.Settings, &a.settings); err != nil {
			return err
		}
	}
	if a.options.Platform != "" {
		p, err := parseAddr("--platform", a.options.Platform)
		if err != nil {
			return err
		}
		a.settings.Platform = p
	}
	for i, s := range a.options.Entries {
		e, err := parseAddr("--entry", s)
		if err != nil {
			return err
		}
		if i == 0 {
			a.settings.Entries = nil
		}
		a.settings.Entries = append(a.settings.Entries, e)
	}
	return nil
}

// report prints a failure and returns its exit code.
func (a *app) report(err error) exitCode {
	if err == nil || isA[*shownError](err) {
		return codeOf(err)
	}
	var f *flags.Error
	if errors.As(err, &f) {
		if f.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(a.streams.out, f.Message)
			return exitOK
		}
		err = &usageError{detail: f.Message}
	}
	_, _ = fmt.Fprintf(a.streams.err, "%s: %v\n", program, err)
	var u *ggsconfig.UnknownOutcomeError
	if errors.As(err, &u) {
		_, _ = fmt.Fprintf(a.streams.err, "%s: repeat it with --change %s --revision %d; the change is applied at most once\n",
			program, u.Change, u.BaseRevision)
	}
	return codeOf(err)
}

// client returns a client of the platform's service.
func (a *app) client() (*ggsplatform.Client, error) {
	if !a.settings.Platform.IsValid() {
		return nil, &usageError{detail: "the platform's address is missing: give --platform or --settings"}
	}
	return ggsplatform.NewClient(a.settings.Platform), nil
}

// store returns the store of a command: the platform's service, wrapped for a dry run
// and for logging if the options request them.
func (a *app) store(c *ggsplatform.Client, dryRun bool) ggsconfig.EditorStore {
	var s ggsconfig.EditorStore = c
	if dryRun {
		s = ggsconfig.NewDryRunStore(s)
	}
	if a.options.Verbose {
		s = ggsconfig.NewLoggedStore(s, log.NewLogfmtLogger(a.streams.err))
	}
	return s
}

// operatorName returns the operator's name for the document's history.
func (a *app) operatorName() string {
	if a.settings.By != "" {
		return a.settings.By
	}
	if u := os.Getenv("USER"); u != "" {
		return u
	}
	return "unknown"
}

func (a *app) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(a.streams.out, format, args...)
	return err
}

// readFile reads a file, or standard input for "-".
func (a *app) readFile(name string) ([]byte, error) {
	var t []byte
	var err error
	if name == "-" {
		t, err = io.ReadAll(a.streams.in)
	} else {
		t, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, &ggstoml.ReadError{Source: name, Cause: err}
	}
	return t, nil
}

func parseAddr(option, s string) (netip.AddrPort, error) {
	p, err := netip.ParseAddrPort(s)
	if err != nil || p.Port() == 0 {
		return p, &usageError{detail: fmt.Sprintf("%s %s: want an IP address and a port, such as 127.0.0.1:7000", option, s)}
	}
	return p, nil
}
