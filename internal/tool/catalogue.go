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

// Timing of the wait until changes take effect.
const (
	_defaultApplyWait  = 6 * time.Second
	_applyPollInterval = 50 * time.Millisecond
	_holderTimeout     = 10 * time.Second // a holder not seen for this long is not waited for
)

// parsedDeclaration is a declaration with the file it was read from.
type parsedDeclaration struct {
	file string
	data []byte
	spec catalogue.Spec
}

func fileFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "file", Aliases: []string{"f"}, Usage: "declaration `FILE` or folder of *.json files", Required: true,
	}
}

// readDeclarations reads and validates all declarations of a file or folder. It
// fails if one of them is invalid, so that none is applied.
func readDeclarations(path string) ([]parsedDeclaration, error) {
	files, err := declarationFiles(path)
	if err != nil {
		return nil, fault.Wrap(fault.BadDeclaration, err, "read the declarations")
	}
	var out []parsedDeclaration
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
			problems = append(problems, fmt.Sprintf("%s: name: found %q, already declared in %s", file, spec.Name, other))
		}
		names[spec.Name] = file
		out = append(out, parsedDeclaration{file: file, data: data, spec: spec})
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
		Usage: "apply declarations to the catalogue",
		Flags: []cli.Flag{
			fileFlag(),
			&cli.BoolFlag{Name: "dry-run", Usage: "only print what would change"},
			&cli.BoolFlag{Name: "prune", Usage: "delete entries that no file declares"},
			&cli.DurationFlag{Name: "wait", Usage: "wait until the changes take effect at every entry instance", Value: _defaultApplyWait},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			all, err := readDeclarations(cmd.String("file"))
			if err != nil {
				return err
			}
			return applyDeclarations(ctx, cmd, all)
		},
	}
}

// changeResult is the result of a change to one entry.
type changeResult struct {
	Name     string `json:"name"`
	Result   string `json:"result"`
	Version  uint64 `json:"version,omitzero"`
	Revision string `json:"revision,omitempty"`
}

// applyDeclarations makes a dry run of every declaration before it applies the
// first one, so that a rejected declaration prevents all changes.
func applyDeclarations(ctx context.Context, cmd *cli.Command, all []parsedDeclaration) error {
	c := newClient(cmd)
	current, err := listEntries(ctx, c)
	if err != nil {
		return err
	}
	for _, d := range all {
		if _, err := c.Do(ctx, newPutCall(d, true)); err != nil {
			return fault.New(fault.CodeOf(err), "%s: %s", d.file, fault.From(err).Message())
		}
	}
	var results []changeResult
	if !cmd.Bool("dry-run") {
		for _, d := range all {
			r, err := putEntry(ctx, c, d, current)
			if err != nil {
				return err
			}
			results = append(results, r)
		}
	} else {
		for _, d := range all {
			results = append(results, changeResult{Name: d.spec.Name, Result: changeOutcome(d.spec, current) + " (dry run)"})
		}
	}
	if cmd.Bool("prune") {
		pruned, err := pruneEntries(ctx, cmd, c, all, current)
		if err != nil {
			return err
		}
		results = append(results, pruned...)
	}
	if err := printChanges(cmd, results); err != nil || cmd.Bool("dry-run") {
		return err
	}
	return waitUntilEffective(ctx, c, results, cmd.Duration("wait"))
}

// waitUntilEffective waits until every holder of the catalogue that was seen within
// _holderTimeout reports at least the highest revision among the changes. If wait
// is 0, waitUntilEffective does not wait.
func waitUntilEffective(ctx context.Context, c *client.Client, results []changeResult, wait time.Duration) error {
	var revision uint64
	for _, r := range results {
		n, err := strconv.ParseUint(r.Revision, 10, 64)
		if err == nil {
			revision = max(revision, n)
		}
	}
	deadline := time.Now().Add(wait)
	for {
		var status operator.StatusDocument
		if err := c.Get(ctx, "/v1/status", &status); err != nil {
			return err
		}
		behind := laggingHolders(status, revision)
		if len(behind) == 0 || wait == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return fault.New(fault.NotReady, "accepted, but not yet effective at %s", strings.Join(behind, ", "))
		}
		time.Sleep(_applyPollInterval)
	}
}

func laggingHolders(status operator.StatusDocument, revision uint64) []string {
	var names []string
	for _, h := range status.Holders {
		if h.Revision < revision && fromMilliseconds(h.SinceContactMS) < _holderTimeout {
			names = append(names, h.Name)
		}
	}
	return names
}

func newPutCall(d parsedDeclaration, dryRun bool) client.Call {
	path := _entriesPath + "/" + url.PathEscape(d.spec.Name)
	if dryRun {
		path += "?dry_run=true"
	}
	return client.Call{
		Method: http.MethodPut,
		Path:   path,
		Header: http.Header{operator.HeaderChangeID: {uuid.NewString()}},
		Body:   d.data,
	}
}

func putEntry(ctx context.Context, c *client.Client, d parsedDeclaration, current map[string]declaration.Document) (changeResult, error) {
	a, err := c.Do(ctx, newPutCall(d, false))
	if err != nil {
		return changeResult{}, fault.New(fault.CodeOf(err), "%s: %s", d.file, fault.From(err).Message())
	}
	var doc declaration.Document
	if err := json.Unmarshal(a.Body, &doc); err != nil {
		return changeResult{}, fault.Wrap(fault.Internal, err, "decode the answer")
	}
	return changeResult{
		Name:     d.spec.Name,
		Result:   changeOutcome(d.spec, current),
		Version:  doc.Version,
		Revision: a.Header.Get(operator.HeaderRevision),
	}, nil
}

// changeOutcome returns what applying a declaration does to its entry.
func changeOutcome(s catalogue.Spec, current map[string]declaration.Document) string {
	old, ok := current[s.Name]
	if !ok {
		return "created"
	}
	if old.Spec().Equal(s) {
		return "unchanged"
	}
	return "changed"
}

func pruneEntries(ctx context.Context, cmd *cli.Command, c *client.Client, all []parsedDeclaration, current map[string]declaration.Document) ([]changeResult, error) {
	declaredNames := make(map[string]bool)
	for _, d := range all {
		declaredNames[d.spec.Name] = true
	}
	var results []changeResult
	for _, name := range sortedNames(current) {
		if declaredNames[name] {
			continue
		}
		if cmd.Bool("dry-run") {
			results = append(results, changeResult{Name: name, Result: "deleted (dry run)"})
			continue
		}
		if err := deleteEntry(ctx, c, name, fmt.Sprintf("%q", fmt.Sprint(current[name].Version))); err != nil {
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
		t.addRow("%s\t%s\t%s\t%s", r.Name, r.Result, numberOrDash(r.Version), orDash(r.Revision))
	}
	return t.flush()
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
		Usage: "compare declarations with the current catalogue; exit code 6 if they differ",
		Flags: []cli.Flag{fileFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			all, err := readDeclarations(cmd.String("file"))
			if err != nil {
				return err
			}
			current, err := listEntries(ctx, newClient(cmd))
			if err != nil {
				return err
			}
			return printDiff(cmd.Root().Writer, all, current)
		},
	}
}

func printDiff(w io.Writer, all []parsedDeclaration, current map[string]declaration.Document) error {
	differs := false
	for _, d := range all {
		old, ok := current[d.spec.Name]
		if ok && old.Spec().Equal(d.spec) {
			continue
		}
		differs = true
		fmt.Fprintf(w, "%s (%s):\n", d.spec.Name, d.file)
		var from, to []string
		if ok {
			from = specLines(old.Spec())
		}
		to = specLines(d.spec)
		for _, line := range missingLines(from, to) {
			fmt.Fprintln(w, coloured(w, _red, "- "+line))
		}
		for _, line := range missingLines(to, from) {
			fmt.Fprintln(w, coloured(w, _green, "+ "+line))
		}
	}
	if differs {
		return cli.Exit("", ExitDiffers)
	}
	return nil
}

func specLines(s catalogue.Spec) []string {
	data, err := declaration.Marshal(s, 0)
	if err != nil {
		return nil
	}
	return strings.Split(string(data), "\n")
}

// missingLines returns the lines of a that b lacks. It ignores trailing commas.
func missingLines(a, b []string) []string {
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
		Usage:     "list the current entries, or show one as its declaration",
		ArgsUsage: "[NAME]",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c := newClient(cmd)
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
	name, err := singleArg(cmd, "name")
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
		t.addRow("%s\t%s\t%s\t%s\t%d\t%d", d.Name, d.Owner, d.Class, d.Target, d.Version, d.Revision)
	}
	return t.flush()
}

func deleteCommand() *cli.Command {
	return &cli.Command{
		Name:      "delete",
		Usage:     "delete an entry",
		ArgsUsage: "NAME",
		Flags:     []cli.Flag{&cli.Uint64Flag{Name: "version", Usage: "only if the current version is `VERSION`"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			name, err := singleArg(cmd, "name")
			if err != nil {
				return err
			}
			ifMatch := "*"
			if v := cmd.Uint64("version"); v > 0 {
				ifMatch = fmt.Sprintf("%q", fmt.Sprint(v))
			}
			if err := deleteEntry(ctx, newClient(cmd), name, ifMatch); err != nil {
				return err
			}
			return printChanges(cmd, []changeResult{{Name: name, Result: "deleted"}})
		},
	}
}

func deleteEntry(ctx context.Context, c *client.Client, name, ifMatch string) error {
	_, err := c.Do(ctx, client.Call{
		Method: http.MethodDelete,
		Path:   _entriesPath + "/" + url.PathEscape(name),
		Header: http.Header{operator.HeaderChangeID: {uuid.NewString()}, "If-Match": {ifMatch}},
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
			_, err = fmt.Fprintf(cmd.Root().Writer, "%d declarations are valid\n", len(all))
			return err
		},
	}
}
