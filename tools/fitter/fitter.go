// Package fitter fits straight lines to measurements and plots the measured values.
package fitter

import (
	"fmt"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Series is one quantity measured at several fleet sizes.
type Series struct {
	Name string
	Unit string
	// Sizes are numbers of nodes. Values has one value for each size.
	Sizes  []float64
	Values []float64
}

// Fit is a straight line that was fitted to a series.
type Fit struct {
	// Intercept is in the unit of the series, Slope in that unit per node.
	Intercept float64
	Slope     float64
	// R2 is the coefficient of determination.
	R2 float64
}

// At returns the value of the line at a number of nodes.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// Line fits a line to the series by least squares.
func (s Series) Line() Fit {
	intercept, slope := stat.LinearRegression(s.Sizes, s.Values, nil, false)
	return Fit{Intercept: intercept, Slope: slope, R2: stat.RSquared(s.Sizes, s.Values, nil, intercept, slope)}
}

// Draw plots the series to a file, whose format follows from the extension of the path.
// Each series is drawn relative to its largest value, so that quantities of different
// units share one axis.
func Draw(path, title string, series []Series) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "nodes"
	p.Y.Label.Text = "fraction of the largest measured value"
	p.Y.Min = 0
	p.Legend.Top = true
	var lines []any
	for _, s := range series {
		largest := 0.0
		for _, value := range s.Values {
			largest = max(largest, value)
		}
		// The lower bound for the divisor avoids 0/0 if all values are 0.
		points := make(plotter.XYs, len(s.Sizes))
		for i := range s.Sizes {
			points[i].X, points[i].Y = s.Sizes[i], s.Values[i]/max(largest, 1e-12)
		}
		lines = append(lines, fmt.Sprintf("%s (largest %.3g %s)", s.Name, largest, s.Unit), points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(9*vg.Inch, 5*vg.Inch, path)
}
