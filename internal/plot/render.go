//nolint:misspell // the names of gonum and image/color are spelt the American way
package plot

import (
	"errors"
	"fmt"
	"image/color"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of one panel.
const (
	panelWidth  = 13 * vg.Centimeter
	panelHeight = 9 * vg.Centimeter
	dotsPerInch = 96
)

// colours are told apart also with the common kinds of colour blindness.
var colours = []color.Color{
	color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255},
	color.RGBA{204, 121, 167, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{80, 80, 80, 255}, color.RGBA{230, 159, 0, 255},
}

var shapes = []draw.GlyphDrawer{
	draw.CircleGlyph{}, draw.SquareGlyph{}, draw.TriangleGlyph{}, draw.CrossGlyph{}, draw.PlusGlyph{}, draw.RingGlyph{}, draw.BoxGlyph{},
}

var (
	errFormat = errors.New("unknown format of a picture")
	errEmpty  = errors.New("a chart without points")
)

// Draw writes the charts side by side into one SVG or PNG file.
func Draw(file string, charts ...Chart) error {
	row := make([]*plot.Plot, len(charts))
	for i, c := range charts {
		p, err := c.plot()
		if err != nil {
			return fmt.Errorf("%s, %q: %w", file, c.Title, err)
		}
		row[i] = p
	}
	width := panelWidth * vg.Length(len(charts))
	canvas, write, err := newCanvas(file, width, panelHeight)
	if err != nil {
		return err
	}
	tiles := draw.Tiles{Rows: 1, Cols: len(charts), PadX: vg.Millimeter * 4, PadTop: vg.Millimeter * 2, PadBottom: vg.Millimeter * 2,
		PadLeft: vg.Millimeter * 2, PadRight: vg.Millimeter * 4}
	canvases := plot.Align([][]*plot.Plot{row}, tiles, canvas)
	for i, p := range row {
		p.Draw(canvases[0][i])
	}
	return writeFile(file, write)
}

func newCanvas(file string, w, h vg.Length) (draw.Canvas, io.WriterTo, error) {
	switch strings.ToLower(filepath.Ext(file)) {
	case ".svg":
		c := vgsvg.New(w, h)
		return draw.New(c), c, nil
	case ".png":
		c := vgimg.PngCanvas{Canvas: vgimg.NewWith(vgimg.UseWH(w, h), vgimg.UseDPI(dotsPerInch), vgimg.UseBackgroundColor(color.White))}
		return draw.New(c), c, nil
	}
	return draw.Canvas{}, nil, fmt.Errorf("%w: %s", errFormat, file)
}

func writeFile(file string, w io.WriterTo) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err := w.WriteTo(f); err != nil {
		_ = f.Close()
		return fmt.Errorf("write %s: %w", file, err)
	}
	return f.Close()
}

func (c Chart) plot() (*plot.Plot, error) {
	p := plot.New()
	p.BackgroundColor = color.White
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.X, c.Y
	p.Title.Padding = vg.Millimeter * 2
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.DefaultTicks{}, plot.DefaultTicks{}
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.TextStyle.Font.Size = vg.Points(9)
	p.Legend.Padding = vg.Millimeter * 0.5
	p.Add(plotter.NewGrid())
	xs := c.xs()
	if len(xs) == 0 {
		return nil, errEmpty
	}
	for i, curve := range c.Curves {
		if err := c.addCurve(p, i, curve); err != nil {
			return nil, err
		}
	}
	for i, b := range c.Bounds {
		if err := c.addBound(p, i, b, xs); err != nil {
			return nil, err
		}
	}
	c.scale(p, xs)
	return p, nil
}

// scale sets the axes. Linear Y axes start at 0, so that heights can be compared.
func (c Chart) scale(p *plot.Plot, xs []float64) {
	if len(c.TicksX) > 0 {
		p.X.Tick.Marker = plot.ConstantTicks(labelled(c.TicksX))
	}
	if c.LogX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.ConstantTicks(ticksAt(xs))
	}
	if c.LogY {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, logTicks{}
		p.Y.Min = math.Pow(10, math.Floor(math.Log10(p.Y.Min)))
		p.Y.Max = math.Pow(10, math.Ceil(math.Log10(p.Y.Max*1.05)))
		if c.RangeY[1] > 0 {
			p.Y.Min, p.Y.Max = c.RangeY[0], c.RangeY[1]
		}
		return
	}
	p.Y.Min = min(0, p.Y.Min)
	// Room for the legend above the curves.
	p.Y.Max += (p.Y.Max - p.Y.Min) * 0.05
	if c.Legend {
		p.Y.Max += (p.Y.Max - p.Y.Min) * 0.07 * float64(len(c.Curves)+len(c.Bounds))
	}
}

func (c Chart) addCurve(p *plot.Plot, i int, curve Curve) error {
	points, ranges := make(plotter.XYs, len(curve.Points)), make(plotter.YErrors, len(curve.Points))
	spread := false
	for j, v := range curve.Points {
		points[j] = plotter.XY{X: v.X, Y: v.Y}
		ranges[j].Low, ranges[j].High = v.Y-v.Low, v.High-v.Y
		spread = spread || v.High > v.Low
	}
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Color, marks.Color = colours[i%len(colours)], colours[i%len(colours)]
	line.Width = vg.Points(1.5)
	marks.Shape, marks.Radius = shapes[i%len(shapes)], vg.Points(3)
	p.Add(line, marks)
	if spread {
		bars, err := plotter.NewYErrorBars(struct {
			plotter.XYer
			plotter.YErrorer
		}{points, ranges})
		if err != nil {
			return err
		}
		bars.Color = line.Color
		p.Add(bars)
	}
	if c.Legend {
		p.Legend.Add(curve.Name, line, marks)
	}
	return nil
}

func (c Chart) addBound(p *plot.Plot, i int, b Bound, xs []float64) error {
	line, err := plotter.NewLine(plotter.XYs{{X: xs[0], Y: b.Y}, {X: xs[len(xs)-1], Y: b.Y}})
	if err != nil {
		return err
	}
	line.Color, line.Width = color.RGBA{180, 0, 0, 255}, vg.Points(1.2)
	line.Dashes = []vg.Length{vg.Points(float64(6 - 2*i)), vg.Points(3)}
	p.Add(line)
	if c.Legend {
		p.Legend.Add(b.Name, line)
	}
	return nil
}
