package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/gentianrail/gentianrail/fault"
)

// Sizes of the plots.
const (
	_plotWidth  = 18 * vg.Centimeter
	_plotHeight = 6 * vg.Centimeter
	_barWidth   = 30 // points
)

var _page = template.Must(template.New("report").Funcs(template.FuncMap{
	"interval": func(s Sample) string { return fmt.Sprintf("%.3f ± %.3f", s.Mean(), s.HalfWidth()) },
	"compare": func(p, first *PolicyFigures) string {
		d, outcome := p.Compare(first)
		return fmt.Sprintf("%+.3f ± %.3f, %s", d.Mean(), d.HalfWidth(), outcome)
	},
}).Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}td,th{border:1px solid #aaa;padding:.3em .6em;text-align:left}</style>
<h1>{{.Name}}</h1>
<p>{{.Seeds}} emulations of each policy with the same seeds. Means with 95% confidence intervals.</p>
<table><tr><th>policy<th>score<th>against {{(index .Policies 0).Policy}}<th>credit<th>worst windows<th>missed targets, s<th>batch cores</tr>
{{range .Policies}}<tr><td>{{.Policy}}<td>{{interval .Score}}<td>{{compare . (index $.Policies 0)}}<td>{{interval .Whole}}<td>{{interval .Worst}}<td>{{interval .Missed}}<td>{{interval .BatchCores}}</tr>
{{end}}</table>
{{range .Plots}}{{.}}
{{end}}<h2>What callers got</h2>
<table><tr><th>policy<th>kind<th>credit<th>in time<th>late<th>failed<th>rejected</tr>
{{range .Policies}}{{$p := .}}{{range $kind, $k := .Kinds}}<tr><td>{{$p.Policy}}<td>{{$kind}}<td>{{interval $k.Credit}}<td>{{interval $k.InTime}}<td>{{interval $k.Late}}<td>{{interval $k.Failed}}<td>{{interval $k.Rejected}}</tr>
{{end}}{{end}}</table>
</html>
`))

// WriteReport writes a page without references to other files.
func WriteReport(w io.Writer, name string, policies []*PolicyFigures) error {
	if len(policies) == 0 {
		return fault.New(fault.BadRequest, "no policies are given")
	}
	plots := []barPlot{
		{title: "score", value: func(p *PolicyFigures) Sample { return p.Score }},
		{title: "credit in the worst windows", value: func(p *PolicyFigures) Sample { return p.Worst }},
	}
	for _, kind := range slices.Sorted(maps.Keys(policies[0].Kinds)) {
		plots = append(plots, barPlot{title: "credit of kind " + kind, value: func(p *PolicyFigures) Sample { return p.KindOf(kind).Credit }})
	}
	var pictures []template.HTML
	for _, b := range plots {
		picture, err := b.draw(policies)
		if err != nil {
			return err
		}
		pictures = append(pictures, picture)
	}
	return _page.Execute(w, map[string]any{"Name": name, "Seeds": len(policies[0].Score), "Policies": policies, "Plots": pictures})
}

// barPlot shows one figure of each policy.
type barPlot struct {
	title string
	value func(*PolicyFigures) Sample
}

// intervals are the confidence intervals of bars.
type intervals struct {
	plotter.XYs
	plotter.YErrors
}

// draw returns an SVG picture with a bar for each policy.
func (b barPlot) draw(policies []*PolicyFigures) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.Y.Min = b.title, 0
	var means plotter.Values
	var labels []string
	var whiskers intervals
	for i, f := range policies {
		s := b.value(f)
		means, labels = append(means, s.Mean()), append(labels, f.Policy.String())
		whiskers.XYs = append(whiskers.XYs, plotter.XY{X: float64(i), Y: s.Mean()})
		whiskers.YErrors = append(whiskers.YErrors, struct{ Low, High float64 }{s.HalfWidth(), s.HalfWidth()})
	}
	bars, err := plotter.NewBarChart(means, vg.Points(_barWidth))
	if err != nil {
		return "", fault.Wrap(fault.Internal, err, "draw the bars of %s", b.title)
	}
	errorBars, err := plotter.NewYErrorBars(whiskers)
	if err != nil {
		return "", fault.Wrap(fault.Internal, err, "draw the intervals of %s", b.title)
	}
	bars.Color = plotutil.Color(2)
	p.Add(bars, errorBars)
	p.NominalX(labels...)
	out, err := p.WriterTo(_plotWidth, _plotHeight, "svg")
	if err != nil {
		return "", fault.Wrap(fault.Internal, err, "draw %s", b.title)
	}
	var svg bytes.Buffer
	if _, err := out.WriteTo(&svg); err != nil {
		return "", fault.Wrap(fault.Internal, err, "draw %s", b.title)
	}
	// A page has no place for the XML declaration before the picture.
	return template.HTML(svg.Bytes()[max(bytes.Index(svg.Bytes(), []byte("<svg")), 0):]), nil
}
