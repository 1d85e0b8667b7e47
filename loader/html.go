package loader

import (
	"html/template"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/plotter"
)

// resultPage is the data of resultTemplate.
type resultPage struct {
	Result
	Plots []template.HTML
}

var resultTemplate = template.Must(template.New("result").Funcs(template.FuncMap{
	"duration": durationText, "reasons": reasonsText, "held": Result.GuaranteesHeld,
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Scenario}}</title>
<style>
body{font-family:sans-serif;margin:2em;max-width:70em}
table{border-collapse:collapse;margin:1em 0}
td,th{border:1px solid #ccc;padding:.3em .7em;text-align:left}
</style></head><body>
<h1>{{.Scenario}}, policy {{.Policy}}</h1>
<p>{{if held .Result}}All promises held.{{else}}Broken promises: {{range .Violations}}{{.}}. {{end}}{{end}}
False ejections: {{.FalseEjections}}.</p>
<table><tr><th>work</th><th>sent</th><th>served</th><th>not run</th><th>may have run</th><th>no answer</th><th>p50</th><th>p99</th><th>reasons</th></tr>
{{range .Work}}<tr><td>{{.Name}}</td><td>{{.Sent}}</td><td>{{.Served}}</td><td>{{.NotRun}}</td><td>{{.MayHaveRun}}</td><td>{{.Unknown}}</td><td>{{.P50}}</td><td>{{.P99}}</td><td>{{reasons .Reasons}}</td></tr>
{{end}}</table>
<table><tr><th>gray backend server</th><th>avoided after</th><th>ejected after</th></tr>
{{range .Detections}}<tr><td>{{.Backend}}</td><td>{{duration .Avoided}}</td><td>{{duration .Ejected}}</td></tr>
{{end}}</table>
<table><tr><th>ejection</th><th>second</th><th>gray</th></tr>
{{range .Ejections}}<tr><td>{{.Service}} {{.Backend}}</td><td>{{printf "%.2f" .Second}}</td><td>{{.Gray}}</td></tr>
{{end}}</table>
{{range .Plots}}{{.}}{{end}}
</body></html>
`))

// HTML writes the result as an HTML page with plots. It returns an error if drawing
// or writing fails.
func (r Result) HTML(out io.Writer) error {
	page := resultPage{Result: r}
	series := []struct {
		title, label string
		value        func(SecondResult) float64
	}{
		{"Served by second of sending", "requests/s", func(s SecondResult) float64 { return float64(s.Served) }},
		{"Refused by second of sending", "requests/s", func(s SecondResult) float64 { return float64(s.Refused) }},
		{"99th percentile of latency", "ms", func(s SecondResult) float64 { return float64(s.P99) / float64(time.Millisecond) }},
	}
	for _, s := range series {
		plot, err := plotter.Lines(s.title, "seconds", s.label, r.lines(s.value))
		if err != nil {
			return err
		}
		page.Plots = append(page.Plots, plot)
	}
	return eris.Wrap(resultTemplate.Execute(out, page), "write page")
}

// lines returns one plot line for each kind of work, with value by second.
func (r Result) lines(value func(SecondResult) float64) []plotter.Line {
	var lines []plotter.Line
	for _, w := range r.Work {
		line := plotter.Line{Name: w.Name}
		for i, s := range w.Seconds {
			line.X = append(line.X, float64(i))
			line.Y = append(line.Y, value(s))
		}
		lines = append(lines, line)
	}
	return lines
}
