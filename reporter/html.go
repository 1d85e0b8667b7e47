package reporter

import (
	"html/template"
	"io"

	"github.com/rotisserie/eris"

	"monsoonswitch/descriptor"
	"monsoonswitch/plotter"
)

// page is the data of pageTemplate.
type page struct {
	Report
	Latencies, Reasons template.HTML
}

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{"stamp": formatTime, "dash": orDash}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Report of {{.Service}}</title>
<style>
body{font-family:sans-serif;margin:2em;max-width:60em}
table{border-collapse:collapse;margin:1em 0}
td,th{border:1px solid #ccc;padding:.3em .7em;text-align:left}
td.n{text-align:right}
</style></head><body>
<h1>Report of {{.Service}}</h1>
<p>State {{.State}} at revision {{.Revision}}; written {{stamp .At}}; {{if .Sealed}}sealed{{else}}not sealed{{end}}.</p>
<table>
<tr><th>received</th><td class="n">{{.Received}}</td></tr>
<tr><th>served whole</th><td class="n">{{.Served}}</td></tr>
<tr><th>refused, not run</th><td class="n">{{.Refused}}</td></tr>
<tr><th>may have run</th><td class="n">{{.Uncertain}}</td></tr>
<tr><th>cancelled by caller</th><td class="n">{{.Abandoned}}</td></tr>
<tr><th>still open</th><td class="n">{{.Open}}</td></tr>
<tr><th>ejections</th><td class="n">{{.Ejections}}</td></tr>
<tr><th>unaccounted at most</th><td class="n">{{.Unaccounted}}</td></tr>
<tr><th>latency</th><td>median {{.Median}}, 99% {{.Tail}}</td></tr>
</table>
{{.Latencies}}
{{.Reasons}}
<h2>By class and reason</h2>
<table><tr><th>class</th><th>reason</th><th>outcome</th><th>requests</th><th>bytes</th></tr>
{{range .Rows}}<tr><td>{{dash .Class}}</td><td>{{.Reason}}</td><td>{{.Outcome}}</td><td class="n">{{.Requests}}</td><td class="n">{{.Bytes}}</td></tr>
{{end}}</table>
<h2>Revisions in force</h2>
<table><tr><th>revision</th><th>first</th><th>last</th><th>instances</th></tr>
{{range .Revisions}}<tr><td class="n">{{.Revision}}</td><td>{{stamp .First}}</td><td>{{stamp .Last}}</td><td class="n">{{.Instances}}</td></tr>
{{end}}</table>
<h2>Instances</h2>
<table><tr><th>instance</th><th>incarnation</th><th>received</th><th>last report</th><th>state</th><th>unaccounted at most</th></tr>
{{range .Instances}}<tr><td>{{.Instance}}</td><td class="n">{{.Incarnation}}</td><td class="n">{{.Received}}</td><td>{{stamp .Last}}</td><td>{{if .Final}}complete{{else if .Vanished}}vanished{{else}}reporting{{end}}</td><td class="n">{{.Uncertain}}</td></tr>
{{end}}</table>
</body></html>
`))

// HTML writes the report as an HTML page with plots. It returns an error if drawing
// or writing fails.
func (r Report) HTML(out io.Writer) error {
	p := page{Report: r}
	var err error
	if p.Latencies, err = r.latencyPlot(); err != nil {
		return err
	}
	if p.Reasons, err = r.reasonPlot(); err != nil {
		return err
	}
	return eris.Wrap(pageTemplate.Execute(out, p), "write page")
}

// latencyPlot draws the latency histogram up to twice the 99th percentile.
func (r Report) latencyPlot() (template.HTML, error) {
	line := plotter.Line{Name: "served"}
	for i, n := range r.Latency {
		line.X = append(line.X, float64(descriptor.BucketBound(i).Microseconds())/1000)
		line.Y = append(line.Y, float64(n))
		if i > 0 && descriptor.BucketBound(i) > 2*r.Tail {
			break
		}
	}
	return plotter.Lines("Latency of served requests", "milliseconds", "requests", []plotter.Line{line})
}

// reasonPlot draws the number of requests by reason; it returns an empty text if
// there are none.
func (r Report) reasonPlot() (template.HTML, error) {
	sums := make(map[string]float64)
	var names []string
	for _, row := range r.Rows {
		if _, ok := sums[row.Reason]; !ok {
			names = append(names, row.Reason)
		}
		sums[row.Reason] += float64(row.Requests)
	}
	if len(names) == 0 {
		return "", nil
	}
	values := make([]float64, len(names))
	for i, n := range names {
		values[i] = sums[n]
	}
	return plotter.Bars("Requests by reason", "requests", names, values)
}
