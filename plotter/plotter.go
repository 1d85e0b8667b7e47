// Package plotter draws plots for HTML pages as SVG.
package plotter

import (
	"bytes"
	"html/template"
	"image/color"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	gonum "gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	width  = 18 * vg.Centimeter
	height = 8 * vg.Centimeter
)

// colors are the colors of the lines, reused from the start if there are more lines.
var colors = []color.Color{
	color.RGBA{R: 31, G: 119, B: 180, A: 255},
	color.RGBA{R: 214, G: 39, B: 40, A: 255},
	color.RGBA{R: 44, G: 160, B: 44, A: 255},
	color.RGBA{R: 148, G: 103, B: 189, A: 255},
	color.RGBA{R: 255, G: 127, B: 14, A: 255},
	color.RGBA{R: 23, G: 190, B: 207, A: 255},
}

// Line is one line of a plot; Name is its legend.
type Line struct {
	Name string
	// X and Y have equal lengths.
	X, Y []float64
}

// Lines draws lines in one plot with axis labels x and y. It returns an error if a
// line has no points or invalid ones.
func Lines(title, x, y string, lines []Line) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Y.Min = 0
	p.Legend.Top = true
	for i, l := range lines {
		points := make(gonum.XYs, len(l.X))
		for k := range l.X {
			points[k] = gonum.XY{X: l.X[k], Y: l.Y[k]}
		}
		line, err := gonum.NewLine(points)
		if err != nil {
			return "", eris.Wrap(err, "draw line")
		}
		line.Color = colors[i%len(colors)]
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(l.Name, line)
	}
	return svg(p)
}

// Bars draws a bar chart with one bar for each name. It returns an error if values is
// empty or has invalid numbers.
func Bars(title, y string, names []string, values []float64) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = y
	p.Y.Min = 0
	bars, err := gonum.NewBarChart(gonum.Values(values), vg.Points(20))
	if err != nil {
		return "", eris.Wrap(err, "draw bars")
	}
	bars.Color = colors[0]
	p.Add(bars)
	p.NominalX(names...)
	return svg(p)
}

// svg renders a plot as an svg element for an HTML page.
func svg(p *plot.Plot) (template.HTML, error) {
	w, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return "", eris.Wrap(err, "draw plot")
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", eris.Wrap(err, "write plot")
	}
	data := b.Bytes()
	if i := bytes.Index(data, []byte("<svg")); i >= 0 {
		data = data[i:]
	}
	// The plot library escapes all text.
	return template.HTML(data), nil
}
