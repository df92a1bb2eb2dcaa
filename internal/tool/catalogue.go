package tool

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/client"
	"github.com/gentianrail/gentianrail/internal/declaration"
	"github.com/gentianrail/gentianrail/internal/operator"
)

const _entriesPath = "/v1/catalogue/entries"

// Timing of the wait for changes to be in force.
const (
	_forceWait  = 6 * time.Second
	_forcePoll  = 50 * time.Millisecond
	_holderGone = 10 * time.Second // silence after which a holder is not waited for
)

// declared is one declaration of a file.
type declared struct {
	file string
	data []byte
	spec catalogue.Spec
}

func fileFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "file", Aliases: []string{"f"}, Usage: "declaration `FILE` or folder of *.json files", Required: true,
	}
}

// readDeclarations reads and checks a file or folder whole, so that nothing
// is applied if anything is wrong.
func readDeclarations(path string) ([]declared, error) {
	files, err := declarationFiles(path)
	if err != nil {
		return nil, fault.Wrap(fault.BadDeclaration, err, "read the declarations")
	}
	var out []declared
	var problems []string
	names := make(map[string]string)
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, fault.Wrap(fault.BadDeclaration, err, "read the declarations")
		}
		spec, err := declaration.Parse(file, data)
		if err != nil {
			problems = append(problems, fault.From(err).Message())
			continue
		}
		if other, ok := names[spec.Name]; ok {
			problems = append(problems, fmt.Sprintf("%s: name: found %q, which %s declares too", file, spec.Name, other))
		}
		names[spec.Name] = file
		out = append(out, declared{file: file, data: data, spec: spec})
	}
	if len(problems) > 0 {
		return nil, fault.New(fault.BadDeclaration, "%s", strings.Join(problems, "\n"))
	}
	return out, nil
}

func declarationFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	files, err := filepath.Glob(filepath.Join(path, "*.json"))
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("%s has no *.json files", path)
	}
	sort.Strings(files)
	return files, err
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "put declarations in force",
		Flags: []cli.Flag{
			fileFlag(),
			&cli.BoolFlag{Name: "dry-run", Usage: "only tell what would change"},
			&cli.BoolFlag{Name: "prune", Usage: "delete entries that no file declares"},
			&cli.DurationFlag{Name: "wait", Usage: "wait until the changes are in force at every entry instance", Value: _forceWait},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			all, err := readDeclarations(cmd.String("file"))
			if err != nil {
				return err
			}
			return apply(ctx, cmd, all)
		},
	}
}

// changeResult is one line of what apply did.
type changeResult struct {
	Name     string `json:"name"`
	Result   string `json:"result"`
	Version  uint64 `json:"version,omitzero"`
	Revision string `json:"revision,omitempty"`
}

// apply tries every change before it makes the first one.
func apply(ctx context.Context, cmd *cli.Command, all []declared) error {
	c := serverOf(cmd)
	before, err := listEntries(ctx, c)
	if err != nil {
		return err
	}
	for _, d := range all {
		if _, err := c.Do(ctx, putCall(d, true)); err != nil {
			return fault.New(fault.CodeOf(err), "%s: %s", d.file, fault.From(err).Message())
		}
	}
	var results []changeResult
	if !cmd.Bool("dry-run") {
		for _, d := range all {
			r, err := put(ctx, c, d, before)
			if err != nil {
				return err
			}
			results = append(results, r)
		}
	} else {
		for _, d := range all {
			results = append(results, changeResult{Name: d.spec.Name, Result: outcomeOf(d.spec, before) + " (dry run)"})
		}
	}
	if cmd.Bool("prune") {
		pruned, err := prune(ctx, cmd, c, all, before)
		if err != nil {
			return err
		}
		results = append(results, pruned...)
	}
	if err := printChanges(cmd, results); err != nil || cmd.Bool("dry-run") {
		return err
	}
	return waitInForce(ctx, c, results, cmd.Duration("wait"))
}

// waitInForce waits until every holder of the catalogue reports the highest
// revision among the changes.
func waitInForce(ctx context.Context, c *client.Client, results []changeResult, wait time.Duration) error {
	var revision uint64
	for _, r := range results {
		n, err := strconv.ParseUint(r.Revision, 10, 64)
		if err == nil {
			revision = max(revision, n)
		}
	}
	until := time.Now().Add(wait)
	for {
		var status operator.StatusDocument
		if err := c.Get(ctx, "/v1/status", &status); err != nil {
			return err
		}
		behind := lagging(status, revision)
		if len(behind) == 0 || wait == 0 {
			return nil
		}
		if time.Now().After(until) {
			return fault.New(fault.NotReady, "accepted, but not yet in force at %s", strings.Join(behind, ", "))
		}
		time.Sleep(_forcePoll)
	}
}

func lagging(status operator.StatusDocument, revision uint64) []string {
	var names []string
	for _, h := range status.Holders {
		if h.Revision < revision && milliseconds(h.SilentMS) < _holderGone {
			names = append(names, h.Name)
		}
	}
	return names
}

func putCall(d declared, dryRun bool) client.Call {
	path := _entriesPath + "/" + url.PathEscape(d.spec.Name)
	if dryRun {
		path += "?dry_run=true"
	}
	return client.Call{
		Method: http.MethodPut,
		Path:   path,
		Header: http.Header{operator.HeaderChange: {uuid.NewString()}},
		Body:   d.data,
	}
}

func put(ctx context.Context, c *client.Client, d declared, before map[string]declaration.Document) (changeResult, error) {
	a, err := c.Do(ctx, putCall(d, false))
	if err != nil {
		return changeResult{}, fault.New(fault.CodeOf(err), "%s: %s", d.file, fault.From(err).Message())
	}
	var doc declaration.Document
	if err := json.Unmarshal(a.Body, &doc); err != nil {
		return changeResult{}, fault.Wrap(fault.Internal, err, "decode the answer")
	}
	return changeResult{
		Name:     d.spec.Name,
		Result:   outcomeOf(d.spec, before),
		Version:  doc.Version,
		Revision: a.Header.Get(operator.HeaderRevision),
	}, nil
}

// outcomeOf tells what applying a declaration does.
func outcomeOf(s catalogue.Spec, before map[string]declaration.Document) string {
	old, ok := before[s.Name]
	if !ok {
		return "created"
	}
	if old.Spec().Equal(s) {
		return "unchanged"
	}
	return "changed"
}

func prune(ctx context.Context, cmd *cli.Command, c *client.Client, all []declared, before map[string]declaration.Document) ([]changeResult, error) {
	declaredNames := make(map[string]bool)
	for _, d := range all {
		declaredNames[d.spec.Name] = true
	}
	var results []changeResult
	for _, name := range sortedNames(before) {
		if declaredNames[name] {
			continue
		}
		if cmd.Bool("dry-run") {
			results = append(results, changeResult{Name: name, Result: "deleted (dry run)"})
			continue
		}
		if err := deleteEntry(ctx, c, name, fmt.Sprintf("%q", fmt.Sprint(before[name].Version))); err != nil {
			return nil, err
		}
		results = append(results, changeResult{Name: name, Result: "deleted"})
	}
	return results, nil
}

func sortedNames(m map[string]declaration.Document) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func printChanges(cmd *cli.Command, results []changeResult) error {
	w := cmd.Root().Writer
	if wantsJSON(cmd) {
		return printJSON(w, results)
	}
	t := newTable(w, "NAME\tRESULT\tVERSION\tREVISION")
	for _, r := range results {
		t.row("%s\t%s\t%s\t%s", r.Name, r.Result, numberOrDash(r.Version), orDash(r.Revision))
	}
	return t.end()
}

func numberOrDash(n uint64) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func listEntries(ctx context.Context, c *client.Client) (map[string]declaration.Document, error) {
	out := make(map[string]declaration.Document)
	after := ""
	for {
		var page operator.EntriesDocument
		if err := c.Get(ctx, _entriesPath+"?after="+url.QueryEscape(after), &page); err != nil {
			return nil, err
		}
		for _, e := range page.Entries {
			out[e.Name] = e
		}
		if page.Next == "" {
			return out, nil
		}
		after = page.Next
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:  "diff",
		Usage: "compare declarations with what is in force; exit code 6 if they differ",
		Flags: []cli.Flag{fileFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			all, err := readDeclarations(cmd.String("file"))
			if err != nil {
				return err
			}
			before, err := listEntries(ctx, serverOf(cmd))
			if err != nil {
				return err
			}
			return diff(cmd.Root().Writer, all, before)
		},
	}
}

func diff(w io.Writer, all []declared, before map[string]declaration.Document) error {
	differs := false
	for _, d := range all {
		old, ok := before[d.spec.Name]
		if ok && old.Spec().Equal(d.spec) {
			continue
		}
		differs = true
		fmt.Fprintf(w, "%s (%s):\n", d.spec.Name, d.file)
		var from, to []string
		if ok {
			from = linesOf(old.Spec())
		}
		to = linesOf(d.spec)
		for _, line := range missing(from, to) {
			fmt.Fprintln(w, coloured(w, _red, "- "+line))
		}
		for _, line := range missing(to, from) {
			fmt.Fprintln(w, coloured(w, _green, "+ "+line))
		}
	}
	if differs {
		return cli.Exit("", ExitDiffers)
	}
	return nil
}

func linesOf(s catalogue.Spec) []string {
	data, err := declaration.Marshal(s, 0)
	if err != nil {
		return nil
	}
	return strings.Split(string(data), "\n")
}

// missing returns the lines of a that b lacks.
func missing(a, b []string) []string {
	has := make(map[string]bool)
	for _, line := range b {
		has[strings.TrimSuffix(line, ",")] = true
	}
	var out []string
	for _, line := range a {
		if !has[strings.TrimSuffix(line, ",")] {
			out = append(out, line)
		}
	}
	return out
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "list the entries in force, or show one as its declaration",
		ArgsUsage: "[NAME]",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c := serverOf(cmd)
			if cmd.Args().Len() > 0 {
				return printEntry(ctx, cmd, c)
			}
			all, err := listEntries(ctx, c)
			if err != nil {
				return err
			}
			return printEntries(cmd, all)
		},
	}
}

func printEntry(ctx context.Context, cmd *cli.Command, c *client.Client) error {
	name, err := oneArg(cmd, "name")
	if err != nil {
		return err
	}
	var doc declaration.Document
	if err := c.Get(ctx, _entriesPath+"/"+url.PathEscape(name), &doc); err != nil {
		return err
	}
	return printJSON(cmd.Root().Writer, doc)
}

func printEntries(cmd *cli.Command, all map[string]declaration.Document) error {
	w := cmd.Root().Writer
	docs := []declaration.Document{}
	for _, name := range sortedNames(all) {
		docs = append(docs, all[name])
	}
	if wantsJSON(cmd) {
		return printJSON(w, docs)
	}
	t := newTable(w, "NAME\tOWNER\tCLASS\tTARGET\tVERSION\tREVISION")
	for _, d := range docs {
		t.row("%s\t%s\t%s\t%s\t%d\t%d", d.Name, d.Owner, d.Class, d.Target, d.Version, d.Revision)
	}
	return t.end()
}

func deleteCommand() *cli.Command {
	return &cli.Command{
		Name:      "delete",
		Usage:     "take an entry out of force",
		ArgsUsage: "NAME",
		Flags:     []cli.Flag{&cli.Uint64Flag{Name: "version", Usage: "only if `VERSION` is in force"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			name, err := oneArg(cmd, "name")
			if err != nil {
				return err
			}
			match := "*"
			if v := cmd.Uint64("version"); v > 0 {
				match = fmt.Sprintf("%q", fmt.Sprint(v))
			}
			if err := deleteEntry(ctx, serverOf(cmd), name, match); err != nil {
				return err
			}
			return printChanges(cmd, []changeResult{{Name: name, Result: "deleted"}})
		},
	}
}

func deleteEntry(ctx context.Context, c *client.Client, name, match string) error {
	_, err := c.Do(ctx, client.Call{
		Method: http.MethodDelete,
		Path:   _entriesPath + "/" + url.PathEscape(name),
		Header: http.Header{operator.HeaderChange: {uuid.NewString()}, "If-Match": {match}},
	})
	return err
}

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:  "validate",
		Usage: "check declarations without a server",
		Flags: []cli.Flag{fileFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			all, err := readDeclarations(cmd.String("file"))
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "%d declarations are sound\n", len(all))
			return err
		},
	}
}
